Feature: Limits are never exceeded, as counted at the targets

  Utilisation is limited to 75 % of the slots of a region, while callers of sask request far more.

  Background:
    Given the fleet of Prairie filled to 75% with shifts of 4 out of each region

  Scenario: One region is overloaded
    When callers of sask send 1200 requests per second to dispatch for 4 s
    Then the limits of regions and shifts were not exceeded
    And targets of sask were filled to their limit

  Scenario: Entry VMs are killed and replaced
    When callers of sask send 1200 requests per second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-1 is started again after 3 s
    And entry VM saskatoon-2 is killed after 4 s
    Then the limits of regions and shifts were not exceeded

  Scenario: Both entry VMs of a failure domain are replaced at once
    When callers of sask send 1200 requests per second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-2 is killed after 1 s
    And entry VM regina-1 is started again after 2 s
    And entry VM regina-2 is started again after 2.05 s
    Then the limits of regions and shifts were not exceeded

  Scenario: Entry VMs are killed and replaced while long requests are running
    When requests take 2.5 s
    And callers of sask send 60 requests per second to dispatch for 10 s
    And entry VM regina-1 is killed after 4 s
    And entry VM regina-1 is started again after 5 s
    And entry VM saskatoon-2 is killed after 6 s
    Then the limits of regions and shifts were not exceeded

  Scenario: An entry VM joins while long requests are running
    When entry VM regina-1 is killed after 0 s
    And 3 s pass
    And requests take 2.5 s
    And callers of sask send 60 requests per second to dispatch for 10 s
    And entry VM regina-1 is started again after 3 s
    Then the limits of regions and shifts were not exceeded

  Scenario: Entry VMs are paused and resumed
    When callers of sask send 1200 requests per second to dispatch for 8 s
    And entry VM regina-1 is paused after 1 s for 3 s
    And entry VM saskatoon-1 is paused after 2 s for 4 s
    Then the limits of regions and shifts were not exceeded

  Scenario: Failure domains, entry VMs and regions are cut off from each other
    When callers of sask send 1200 requests per second to dispatch for 8 s
    And regina-1 and regina-2 are cut off from each other after 1 s for 6 s
    And regina and saskatoon are cut off from each other after 2 s for 5 s
    And regions sask and alberta are cut off from each other after 3 s
    Then the limits of regions and shifts were not exceeded

  Scenario: A ticket lowers a cap under load
    When callers of sask send 1200 requests per second to dispatch for 6 s
    And ticket 2 lowers the caps of dispatch to 2 after 2 s
    Then the limits of regions and shifts were not exceeded

  Scenario: Targets report less load than they have
    When targets report no load and callers of sask send 1200 per second for 4 s
    Then the limits of regions and shifts were not exceeded

  Scenario: The largest customer cannot use the fair share of the others
    When customers large and small request 3 times the capacity of dispatch, split 9 to 1
    Then at least 90% of the requests of small within its fair share are answered

  Scenario: Large responses do not exceed the limit of a link
    When responses have 20000 bytes and the link of sask and alberta allows 4 Mbit/s
    And callers of sask send 1200 requests per second to dispatch for 6 s
    And entry VM regina-1 is killed after 2 s
    And entry VM regina-1 is started again after 3 s
    Then the link of sask and alberta carried at most 4 Mbit/s over 6 s

  Scenario: A shift into cold targets does not raise the error rate
    When ticket 2 adds 6 cold targets of dispatch to each failure domain of alberta
    And callers of sask and alberta send 300 requests per second to dispatch for 6 s
    Then cold targets started with one slot
    And every request is answered
