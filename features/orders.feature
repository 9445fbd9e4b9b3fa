Feature: Orders run at most once, and configurations never revert
  Callers and operators rely on this when controls and entries fail.

  Scenario: A resend at another entry returns the stored answer
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And entry "e1" settles order "k1" with answer "spare ring"
    And entry "e2" claims order "k1"
    Then the last claim is "settled" with answer "spare ring"

  Scenario: An order in progress is not run a second time
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And entry "e2" claims order "k1"
    Then the last claim is "pending"

  Scenario: A claim survives the failure of the leader
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And the leader is killed
    And entry "e2" claims order "k1"
    Then the last claim is "pending"

  Scenario: An order whose entry fails becomes unresolved
    Given three controls with a leader
    When entry "e1" claims order "k1"
    And 30 seconds pass
    And entry "e2" claims order "k1"
    Then the last claim is "unresolved"

  Scenario: The first of two concurrent changes of a version wins
    Given three controls with a leader
    When operator "ana" replaces version 0
    And operator "ben" replaces version 0
    Then the last change ends in "conflict" with the change by "ana"
