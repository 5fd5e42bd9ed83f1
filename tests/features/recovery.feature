Feature: Recovery from simultaneous failures

  Background:
    Given the fleet of Prairie with shifts of 6 out of each region

  Scenario: All entry VMs of a failure domain are killed and restarted
    When callers send 100 requests per second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-2 is killed after 1 s
    And entry VM regina-1 is started again after 3 s
    And entry VM regina-2 is started again after 3.5 s
    Then no invariant was violated
    And every target has one owner
    And ticket 1 is in force on every live entry VM within 1 s

  Scenario: All entry VMs are replaced at once
    When all entry VMs are replaced at once
    And 3 s pass
    Then ticket 1 is in force on every live entry VM within 1 s
    And every target has one owner

  Scenario: A region is lost and its callers use the other regions
    When entry VMs and targets of sask are killed after 0 s
    And 3 s pass
    And callers of alberta and manitoba send 200 requests per second to dispatch for 5 s
    Then no invariant was violated
    And every request is answered

  Scenario: A partition heals after a minute
    When regina can reach only regina
    And ticket 2 is accepted
    And 60 s pass
    Then ticket 1 is in force on every live entry VM within 1 s
    When all links are restored
    And 4 s pass
    Then ticket 2 is in force on every live entry VM within 1 s
    And no invariant was violated
    And every entry VM treats regina-1 as serving

  Scenario: Dead members are forgotten by every entry VM
    When entry VM regina-1 is killed after 0 s
    And 3 s pass
    Then every entry VM records regina-1 as dead
    When dead members are forgotten after 2 s
    And entry VM calgary-1 is killed after 1 s
    And entry VM calgary-1 is started again after 2 s
    And 12 s pass
    Then no entry VM has a record of regina-1
