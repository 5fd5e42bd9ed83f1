Feature: A non-idempotent order runs at most once

  Background:
    Given the fleet of Prairie with shifts of 6 out of each region

  Scenario: The same order is sent through every entry VM
    When order o1 bound to regina-1 is sent through every entry VM
    Then order o1 ran once

  Scenario: The entry VM that the order is bound to is killed after it dispatched the order
    When order o1 bound to regina-1 is sent through regina-1
    And entry VM regina-1 is killed after 0.02 s
    And order o1 bound to regina-1 is sent again through saskatoon-1 after 1 s
    Then order o1 ran at most once
    And the last verdict for order o1 says that it may have run

  Scenario: The entry VM is replaced and has lost its record of the order
    When order o1 bound to regina-1 is sent through regina-1
    And entry VM regina-1 is killed after 1 s
    And entry VM regina-1 is started again after 2 s
    And order o1 bound to regina-1 is sent again through regina-1 after 5 s
    Then order o1 ran at most once
    And the last verdict for order o1 says that it may have run

  Scenario: The entry VM is paused before the order arrives
    When entry VM regina-1 is paused after 0 s for 12 s
    And order o1 bound to regina-1 is sent again through saskatoon-1 after 0.1 s
    And order o1 bound to regina-1 is sent again through regina-2 after 0.2 s
    Then order o1 ran at most once
    And the last verdict for order o1 says that it may have run

  Scenario: The entry VM is cut off from the one that receives the retry
    When regina and saskatoon are cut off from each other after 0 s for 20 s
    And order o1 bound to regina-1 is sent through regina-1
    And order o1 bound to regina-1 is sent again through saskatoon-1 after 1 s
    Then order o1 ran once
    And the last verdict for order o1 says that it may have run

  Scenario: The store is down
    When the store is down
    And order o1 bound to regina-1 is sent through every entry VM
    Then order o1 ran once

  Scenario: The request id is older than the retention
    When order o1 bound to regina-1 is sent through regina-1
    And order o1 bound to regina-1 is sent again through regina-1 after 670 s
    Then order o1 ran once
    And the last verdict for order o1 says that it may have run

  Scenario: The request id was not issued by a look-up
    When order o1 with an unbound id is sent through regina-1
    Then order o1 did not run
    And the last verdict for order o1 says that it did not run

  Scenario: An order that was refused for lack of capacity is sent again
    When every target of dispatch is busy for 1 s
    And order o1 bound to regina-1 is sent again through regina-1 after 0.1 s
    And order o1 bound to regina-1 is sent again through regina-1 after 3 s
    Then order o1 ran once

  Scenario: An order that ran is sent again to an entry VM that was just resumed
    When order o1 bound to regina-1 is sent through regina-1
    And 1 s pass
    And entry VM saskatoon-1 is paused after 0 s for 5 s
    And order o1 bound to regina-1 is sent again through saskatoon-1 after 0.1 s
    Then order o1 ran once
    And no verdict for order o1 says that it did not run
