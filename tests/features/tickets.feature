Feature: What operators accepted is what runs

  Background:
    Given the places of Nishikawa with shifts of 6 out of each region

  Scenario: In force everywhere within four seconds
    When ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: One daemon is paused
    When entry VM chikuzen-hakata-1 is paused after 0 s for 60 s
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: One daemon was replaced
    When entry VM chikuzen-hakata-1 is killed after 0 s
    And entry VM chikuzen-hakata-1 is started again after 0.5 s
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: The store fails after acceptance
    When the store is down
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: A failure domain reaches one other and no store
    When the store is down
    And satsuma-kanoya is cut off from all but satsuma-tenmonkan
    And ticket 2 is accepted
    Then ticket 2 is in force on every live entry VM within 4 s

  Scenario: A replacement starts from nothing with the store down
    When ticket 2 is accepted
    And 5 s pass
    And the store is down
    And entry VM higo-suizenji-1 is killed after 0 s
    And entry VM higo-suizenji-1 is started again after 1 s
    And 4 s pass
    Then ticket 2 is in force on every live entry VM within 1 s
    And nothing that must hold was broken

  Scenario: The only daemon that was served a ticket dies before the others hear
    When the store is down
    And ticket 2 is accepted
    And entry VM chikuzen-hakata-1 is killed after 0 s
    And entry VM chikuzen-hakata-1 is started again after 0.3 s
    And 4 s pass
    Then no failure domain served a lower ticket after a higher one

  Scenario: All entry VMs are replaced one after another with the store down
    When ticket 2 is accepted
    And 5 s pass
    And the store is down
    And all entry VMs are replaced one after another
    Then ticket 2 is in force on every live entry VM within 1 s
    And no failure domain served a lower ticket after a higher one
