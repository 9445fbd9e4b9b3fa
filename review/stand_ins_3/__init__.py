"""Stand-ins of the third review: a site of real processes, backends, clients, the operator."""
