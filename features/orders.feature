Feature: Orders run once, and configurations never go back
  Operators and callers see this whatever fails between them.

  Scenario: A resend at another entry gets the stored answer
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And entry "e1" settles order "k1" with answer "spare ring"
    And entry "e2" claims order "k1"
    Then the last claim is "settled" with answer "spare ring"

  Scenario: An order that is under way is not run a second time
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And entry "e2" claims order "k1"
    Then the last claim is "pending"

  Scenario: The leader is killed after a claim
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And the leader is killed
    And entry "e2" claims order "k1"
    Then the last claim is "pending"

  Scenario: An entry that dies leaves an order for the operator
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And 30 seconds pass
    And entry "e2" claims order "k1"
    Then the last claim is "unresolved"

  Scenario: Operators race with the same version
    Given three controls with a leader
    When operator "ana" replaces version 0
    And operator "ben" replaces version 0
    Then the last change is a "conflict" won by "ana"
