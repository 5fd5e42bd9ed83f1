Feature: An accepted ticket comes into force on every entry VM

  Background:
    Given the fleet of Nishikawa with shifts of 6 out of each region

  Scenario: Without faults, a ticket is in force within four seconds
    When ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: One entry VM is paused
    When entry VM chikuzen-hakata-1 is paused after 0 s for 60 s
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: One entry VM was replaced
    When entry VM chikuzen-hakata-1 is killed after 0 s
    And entry VM chikuzen-hakata-1 is started again after 0.5 s
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: The store fails after the acceptance
    When the store is down
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: A failure domain can reach only one other and not the store
    When the store is down
    And satsuma-kanoya can reach only satsuma-tenmonkan
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: A replacement starts without state while the store is down
    When ticket 2 is accepted
    And 5 s pass
    And the store is down
    And entry VM higo-suizenji-1 is killed after 0 s
    And entry VM higo-suizenji-1 is started again after 1 s
    And 4 s pass
    Then ticket 2 is in force on every live entry VM within 1 s
    And no invariant was violated

  Scenario: The only entry VM that received a ticket is killed before it forwards it
    When the store is down
    And ticket 2 is accepted
    And entry VM chikuzen-hakata-1 is killed after 0 s
    And entry VM chikuzen-hakata-1 is started again after 0.3 s
    And 4 s pass
    Then no entry VM served a lower ticket after a higher one

  Scenario: All entry VMs are replaced one after another while the store is down
    When ticket 2 is accepted
    And 5 s pass
    And the store is down
    And all entry VMs are replaced one after another
    Then ticket 2 is in force on every live entry VM within 1 s
    And no entry VM served a lower ticket after a higher one
