Feature: Recovery from the loss of many at once

  Background:
    Given the places of Prairie with shifts of 6 out of each region

  Scenario: A whole failure domain is lost and returns
    When coordinators send 100 requests a second to dispatch for 8 s
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-2 is killed after 1 s
    And entry VM regina-1 is started again after 3 s
    And entry VM regina-2 is started again after 3.5 s
    Then nothing that must hold was broken
    And every target has one owner
    And ticket 1 is in force on every live entry VM within 1 s

  Scenario: All entry VMs are replaced at once
    When all entry VMs are replaced at once
    And 3 s pass
    Then ticket 1 is in force on every live entry VM within 1 s
    And every target has one owner

  Scenario: A region is lost and its callers turn to the others
    When entry VMs and targets of sask are lost after 0 s
    And 3 s pass
    And callers of alberta and manitoba send 200 requests a second to dispatch for 5 s
    Then nothing that must hold was broken
    And every request is answered

  Scenario: A partition heals after a minute
    When regina is cut off from all but regina
    And ticket 2 is accepted
    And 60 s pass
    Then ticket 1 is in force on every live entry VM within 1 s
    When all links are mended
    And 4 s pass
    Then ticket 2 is in force on every live entry VM within 1 s
    And nothing that must hold was broken
    And every entry VM names regina-1

  Scenario: Ended members are forgotten everywhere
    When entry VM regina-1 is killed after 0 s
    And 3 s pass
    Then every entry VM knows that regina-1 ended
    When members that ended are forgotten after 2 s
    And entry VM calgary-1 is killed after 1 s
    And entry VM calgary-1 is started again after 2 s
    And 12 s pass
    Then no entry VM knows of regina-1
