Feature: Requests end right while entry VMs, links and targets fail

  Background:
    Given the places of Prairie with shifts of 6 out of each region

  Scenario: Steady traffic
    When coordinators send 60 requests a second to dispatch for 5 s
    Then every request is answered
    And nothing that must hold was broken

  Scenario: An entry VM is killed under load
    When coordinators send 60 requests a second to dispatch for 6 s
    And entry VM regina-1 is killed after 2 s
    Then nothing that must hold was broken
    And no request through a live entry VM waited beyond its deadline

  Scenario: An entry VM is paused and wakes
    When coordinators send 60 requests a second to dispatch for 8 s
    And entry VM calgary-1 is paused after 2 s for 4 s
    Then nothing that must hold was broken

  Scenario: Two failure domains lose each other
    When coordinators send 60 requests a second to dispatch for 8 s
    And regina and saskatoon are cut off from each other after 1 s for 5 s
    Then nothing that must hold was broken

  Scenario: The two entry VMs of a failure domain lose each other
    When coordinators send 200 requests a second to dispatch for 8 s
    And regina-1 and regina-2 are cut off from each other after 1 s for 6 s
    Then nothing that must hold was broken

  Scenario: An entry VM is replaced with empty memory
    When coordinators send 60 requests a second to dispatch for 8 s
    And entry VM regina-1 is killed after 2 s
    And entry VM regina-1 is started again after 3 s
    Then nothing that must hold was broken

  Scenario: A target is lost while it works
    When coordinators send 60 requests a second to dispatch for 6 s
    And target dispatch-0 is killed after 2 s
    Then nothing that must hold was broken
    And every repeatable request is answered

  Scenario: A target is leaving
    When coordinators send 300 requests a second to dispatch for 8 s
    And target dispatch-0 begins to leave after 2 s
    Then target dispatch-0 began no work from 2 s after that
    And every request is answered

  Scenario: A request that crashes its targets is sent again and again
    When a request that crashes targets is sent 12 times through all entry VMs
    And coordinators send 60 requests a second to dispatch for 3 s
    Then at most 2 targets were lost
    And requests that crash nothing are answered

  Scenario: A replaced entry VM knows which requests crash targets
    When a request that crashes targets is sent 4 times through all entry VMs
    And all entry VMs are replaced one after another
    And a request that crashes targets is sent 12 times through all entry VMs
    Then at most 2 targets were lost

  Scenario: Twice the capacity
    When coordinators send 2880 requests a second to dispatch for 3 s
    Then nothing that must hold was broken
    And refusals say when to come back
    And refusals are given within 0.5 s

  Scenario: Everything at once
    When coordinators send 200 requests a second to dispatch for 12 s
    And entry VM regina-1 is killed after 1 s
    And entry VM calgary-1 is paused after 2 s for 5 s
    And regina and winnipeg are cut off from each other after 2 s for 4 s
    And target dispatch-3 is killed after 3 s
    And entry VM regina-1 is started again after 4 s
    And entry VM winnipeg-1 is killed after 5 s
    And target dispatch-7 begins to leave after 6 s
    Then nothing that must hold was broken
