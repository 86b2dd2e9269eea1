Feature: A few readers follow the store for all entries

  Scenario: Three entries in different zones become readers and the others save their calls
    Given 6 entries in 3 zones that follow a store
    Then 3 readers are found, one in each zone
    And the store gets at most 12 calls in the next 2 s
    And all entries know all 6 entries
    And all of this holds when it is played

  Scenario Outline: A change reaches every entry in time although <trouble>
    Given 6 entries in 3 zones that follow a store
    When trouble comes: <trouble>
    And a zone is taken out
    Then every living entry that reaches the store or a reader knows it within 2 s
    And all of this holds when it is played

    Examples:
      | trouble                                   |
      | nothing happens                           |
      | all readers are killed                    |
      | all readers lose the store                |
      | the store falls silent for all readers    |
      | all but the readers lose the store        |
      | the store forgets its history             |

  Scenario: Pattern "one target after the other restarts": news in a row cost few calls
    Given 6 entries in 3 zones that follow a store
    Then 40 changes, 50 ms apart, cost at most 27 calls and reach every entry within 800 ms
    And all of this holds when it is played

  Scenario: Readers that died do not keep others from the one that lives
    Given 12 entries in 3 zones that follow a store
    When two readers are killed and 4 s pass
    Then each of 6 changes reaches every living entry within 1000 ms
    And all of this holds when it is played

  Scenario: Entries with a narrow link leave the places to others
    Given 6 entries in 3 zones that follow a store, with links of 10 Mbit/s but for e1, e3 and e5
    Then e1, e3 and e5 become the readers
    And all of this holds when it is played

  Scenario: A reader's place that becomes vacant is taken by another entry
    Given 6 entries in 3 zones that follow a store
    When a reader is killed and its place becomes vacant
    Then 3 readers are found, one in each zone
    And all of this holds when it is played

  Scenario: A reader that restarts goes on with its place
    Given 6 entries in 3 zones that follow a store
    When a reader is killed and starts again
    Then the same entry is a reader without a new write
    And all of this holds when it is played

  Scenario: An entry that starts while the store is down learns from a seed what the others know
    Given 6 entries in 3 zones that follow a store
    When the store goes down and an entry starts with another as its seed
    Then it knows the routes within 2 s
    And all of this holds when it is played

  Scenario: A subscriber that knows more than a reader is not flooded
    Given 6 entries in 3 zones that follow a store
    When a subscriber knows a later revision than the reader
    Then the reader sends it at most 6 messages in 2 s
    And all of this holds when it is played

  Scenario Outline: A message that cannot be read ends the link and nothing else
    Then <message> raises an error that says so

    Examples:
      | message         |
      | no bytes        |
      | bytes of zero   |
      | an unknown kind |
      | a short list    |
