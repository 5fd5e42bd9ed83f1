Feature: Membership is accurate, and a lost link alone removes no entry VM

  Background:
    Given the fleet of Prairie with shifts of 6 out of each region

  Scenario: A paused entry VM is removed from look-ups within two seconds of its last heartbeat
    When entry VM regina-1 is paused after 0 s for 30 s
    And 2 s pass
    Then no entry VM treats regina-1 as serving

  Scenario: A killed entry VM is removed from look-ups within two seconds
    When entry VM regina-1 is killed after 0 s
    And 2 s pass
    Then no entry VM treats regina-1 as serving

  Scenario: A lost link between two entry VMs removes neither
    When regina-1 and regina-2 are cut off from each other after 0 s for 20 s
    And 10 s pass
    Then every entry VM treats regina-1 as serving

  Scenario: A resumed entry VM is not ready until a sibling has responded
    When entry VM regina-1 is paused after 0 s for 5 s
    And 5 s pass
    Then regina-1 is not ready
    And regina-1 is ready 1 s later
    And every entry VM treats regina-1 as serving

  Scenario: An isolated failure domain keeps its own entry VMs
    When regina can reach only regina
    And 5 s pass
    Then regina-1 treats regina-2 as serving
