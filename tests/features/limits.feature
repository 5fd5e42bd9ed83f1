Feature: Limits hold at every instant, counted at the targets

  Regions are filled to 75 %; callers of sask ask for far more than that.

  Background:
    Given the places of Prairie filled to 75% with shifts of 4 out of each region

  Scenario: Skewed overload
    When callers of sask send 1200 requests a second to dispatch for 4 s
    Then the limits of regions and shifts held
    And targets of sask were filled to their limit

  Scenario: Entry VMs die and are replaced
    When callers of sask send 1200 requests a second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-1 is started again after 3 s
    And entry VM saskatoon-2 is killed after 4 s
    Then the limits of regions and shifts held

  Scenario: Both entry VMs of a failure domain are replaced at once
    When callers of sask send 1200 requests a second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-2 is killed after 1 s
    And entry VM regina-1 is started again after 2 s
    And entry VM regina-2 is started again after 2.05 s
    Then the limits of regions and shifts held

  Scenario: Entry VMs die and are replaced while long requests go on
    When requests take 2.5 s
    And callers of sask send 60 requests a second to dispatch for 10 s
    And entry VM regina-1 is killed after 4 s
    And entry VM regina-1 is started again after 5 s
    And entry VM saskatoon-2 is killed after 6 s
    Then the limits of regions and shifts held

  Scenario: An entry VM joins while long requests go on
    When entry VM regina-1 is killed after 0 s
    And 3 s pass
    And requests take 2.5 s
    And callers of sask send 60 requests a second to dispatch for 10 s
    And entry VM regina-1 is started again after 3 s
    Then the limits of regions and shifts held

  Scenario: Entry VMs pause and wake
    When callers of sask send 1200 requests a second to dispatch for 8 s
    And entry VM regina-1 is paused after 1 s for 3 s
    And entry VM saskatoon-1 is paused after 2 s for 4 s
    Then the limits of regions and shifts held

  Scenario: Failure domains and entry VMs lose each other
    When callers of sask send 1200 requests a second to dispatch for 8 s
    And regina-1 and regina-2 are cut off from each other after 1 s for 6 s
    And regina and saskatoon are cut off from each other after 2 s for 5 s
    And sask and alberta lose each other after 3 s
    Then the limits of regions and shifts held

  Scenario: A ticket lowers a cap under load
    When callers of sask send 1200 requests a second to dispatch for 6 s
    And ticket 2 lowers the caps of dispatch to 2 after 2 s
    Then the limits of regions and shifts held

  Scenario: Measurements mislead
    When targets report no load and callers of sask send 1200 a second for 4 s
    Then the limits of regions and shifts held

  Scenario: The largest customer leaves the others their share
    When customers large and small ask dispatch for 3 times the capacity, nine to one
    Then at least 90% of the requests of small within its fair share are answered

  Scenario: Large answers do not exceed a link's share
    When answers are 20000 bytes and the link of sask and alberta may carry 4 Mbit/s
    And callers of sask send 1200 requests a second to dispatch for 6 s
    And entry VM regina-1 is killed after 2 s
    And entry VM regina-1 is started again after 3 s
    Then the link of sask and alberta carried at most 4 Mbit/s over 6 s

  Scenario: A shift into cold targets does not raise the error rate
    When ticket 2 adds 6 cold targets of dispatch to each failure domain of alberta
    And callers of sask and alberta send 300 requests a second to dispatch for 6 s
    Then cold targets began with one slot
    And every request is answered
