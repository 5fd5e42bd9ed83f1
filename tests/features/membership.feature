Feature: Who serves is known, and a silent link accuses nobody

  Background:
    Given the places of Prairie with shifts of 6 out of each region

  Scenario: A silent entry VM is out of look-ups within two seconds of its last sign
    When entry VM regina-1 is paused after 0 s for 30 s
    And 2 s pass
    Then no entry VM names regina-1

  Scenario: A killed entry VM is out of look-ups within two seconds
    When entry VM regina-1 is killed after 0 s
    And 2 s pass
    Then no entry VM names regina-1

  Scenario: A lost link between two removes neither
    When regina-1 and regina-2 are cut off from each other after 0 s for 20 s
    And 10 s pass
    Then every entry VM names regina-1

  Scenario: A paused entry VM that wakes refuses until a sibling answered
    When entry VM regina-1 is paused after 0 s for 5 s
    And 5 s pass
    Then regina-1 is not ready
    And regina-1 is ready 1 s later
    And every entry VM names regina-1

  Scenario: A failure domain that lost all others still names its own
    When regina is cut off from all but regina
    And 5 s pass
    Then regina-1 names regina-2
