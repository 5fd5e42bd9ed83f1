Feature: Verdicts are correct while entry VMs, links and targets fail

  Background:
    Given the fleet of Prairie with shifts of 6 out of each region

  Scenario: Steady traffic
    When callers send 60 requests per second to dispatch for 5 s
    Then every request is answered
    And no invariant was violated

  Scenario: An entry VM is killed under load
    When callers send 60 requests per second to dispatch for 6 s
    And entry VM regina-1 is killed after 2 s
    Then no invariant was violated
    And no request through a live entry VM waited beyond its deadline

  Scenario: An entry VM is paused and resumed
    When callers send 60 requests per second to dispatch for 8 s
    And entry VM calgary-1 is paused after 2 s for 4 s
    Then no invariant was violated

  Scenario: Two failure domains are cut off from each other
    When callers send 60 requests per second to dispatch for 8 s
    And regina and saskatoon are cut off from each other after 1 s for 5 s
    Then no invariant was violated

  Scenario: The two entry VMs of a failure domain are cut off from each other
    When callers send 200 requests per second to dispatch for 8 s
    And regina-1 and regina-2 are cut off from each other after 1 s for 6 s
    Then no invariant was violated

  Scenario: An entry VM is replaced and has lost its state
    When callers send 60 requests per second to dispatch for 8 s
    And entry VM regina-1 is killed after 2 s
    And entry VM regina-1 is started again after 3 s
    Then no invariant was violated

  Scenario: A target is killed while it runs requests
    When callers send 60 requests per second to dispatch for 6 s
    And target dispatch-0 is killed after 2 s
    Then no invariant was violated
    And every repeatable request is answered

  Scenario: A target is draining
    When callers send 300 requests per second to dispatch for 8 s
    And target dispatch-0 starts draining after 2 s
    Then target dispatch-0 started no request later than 2 s after that
    And every request is answered

  Scenario: A request that crashes its targets is sent repeatedly
    When a request that crashes targets is sent 12 times through all entry VMs
    And callers send 60 requests per second to dispatch for 3 s
    Then at most 2 targets crashed
    And requests that crash nothing are answered

  Scenario: Replaced entry VMs receive the crash reports from the others
    When a request that crashes targets is sent 4 times through all entry VMs
    And all entry VMs are replaced one after another
    And a request that crashes targets is sent 12 times through all entry VMs
    Then at most 2 targets crashed

  Scenario: Demand is twice the capacity
    When callers send 2880 requests per second to dispatch for 3 s
    Then no invariant was violated
    And refusals carry a jittered Retry-After
    And refusals are returned within 0.5 s

  Scenario: Many faults overlap
    When callers send 200 requests per second to dispatch for 12 s
    And entry VM regina-1 is killed after 1 s
    And entry VM calgary-1 is paused after 2 s for 5 s
    And regina and winnipeg are cut off from each other after 2 s for 4 s
    And target dispatch-3 is killed after 3 s
    And entry VM regina-1 is started again after 4 s
    And entry VM winnipeg-1 is killed after 5 s
    And target dispatch-7 starts draining after 6 s
    Then no invariant was violated
