Feature: A few readers follow the store and relay its changes to all entries

  Scenario: Three entries in different zones become readers, so that the store gets few calls
    Given 6 entries in 3 zones that follow a store
    Then there are 3 readers, one in each zone
    And the store gets at most 12 calls in the next 2 s
    And every entry lists all 6 entries
    And the steps pass when they are run

  Scenario: Pattern "all entries start at once": only readers watch the store
    Given 12 entries in 3 zones that follow a store
    Then only readers have watched the store since the start
    And the steps pass when they are run

  Scenario: Pattern "the store is down": entries that hear a reader leave most attempts to it
    Given 12 entries in 3 zones that follow a store
    When the store is unavailable to all entries for 8 s, at a price of at most 2 calls of each that is no reader
    And a zone is taken out
    Then every running entry that reaches the store or a reader applies the change within 2 s
    And the steps pass when they are run

  Scenario: The events of an entry tell how it lost and regained a current state
    Given 6 entries in 3 zones that follow a store
    When the store does not respond to any entry for 4 s
    And a zone is taken out
    And 4 s pass
    Then the events of each entry have its failed calls and the source of its next confirmation
    And the steps pass when they are run

  Scenario Outline: A change reaches every entry in time although <fault>
    Given 6 entries in 3 zones that follow a store
    When this fault occurs: <fault>
    And a zone is taken out
    Then every running entry that reaches the store or a reader applies the change within 2 s
    And the steps pass when they are run

    Examples:
      | fault                                          |
      | nothing fails                                  |
      | all readers are killed                         |
      | all readers lose the store                     |
      | the store stops responding to all readers      |
      | all entries except the readers lose the store  |
      | the store loses its history                    |

  Scenario Outline: Every entry follows a store that was restored from a copy, <detail>
    Given 6 entries in 3 zones that follow a store
    When the store is restored from a copy that lacks 4 changes, and <count> others are written at once
    And a zone is taken out
    Then every running entry that reaches the store or a reader applies the change within 2 s
    And every entry has the content of the store
    And the steps pass when they are run

    Examples:
      | detail                                         | count |
      | with lower revisions than the entries have     | 0     |
      | with the revision that the entries have        | 4     |
      | with higher revisions than the entries have    | 7     |

  Scenario: A restoration that takes the reader slots away leaves three readers
    Given 6 entries in 3 zones that follow a store
    When the store is restored from a copy without reader slots
    Then there are 3 readers, one in each zone
    And every entry has the content of the store
    And the steps pass when they are run

  Scenario: Targets that a restored store lacks stay usable until they have registered again
    Given 6 entries in 3 zones that follow a store
    When the store is restored from a copy that lacks a target, which registers again after 1.5 s
    Then no entry is without the target at any time
    And the steps pass when they are run

  Scenario: A rolling restart of targets causes few calls to the store
    Given 6 entries in 3 zones that follow a store
    Then 40 changes, 50 ms apart, cost at most 27 calls and reach every entry within 800 ms
    And the steps pass when they are run

  Scenario: Entries switch to the remaining reader after two readers died
    Given 12 entries in 3 zones that follow a store
    When two readers are killed and 4 s pass
    Then each of 6 changes reaches every running entry within 1000 ms
    And the steps pass when they are run

  Scenario: Entries with a slow link leave the reader slots to others
    Given 6 entries in 3 zones that follow a store, with links of 10 Mbit/s except for e1, e3 and e5
    Then e1, e3 and e5 become the readers
    And the steps pass when they are run

  Scenario: Another entry acquires a reader slot that becomes vacant
    Given 6 entries in 3 zones that follow a store
    When a reader is killed and its slot becomes vacant
    Then there are 3 readers, one in each zone
    And the steps pass when they are run

  Scenario: A reader that restarts resumes its slot
    Given 6 entries in 3 zones that follow a store
    When a reader is killed and starts again
    Then the same entry is a reader without another write to the store
    And the steps pass when they are run

  Scenario: An entry that starts during a store outage gets the routes from a seed
    Given 6 entries in 3 zones that follow a store
    When the store fails and an entry starts with another entry as its seed
    Then the new entry has the routes within 2 s
    And the steps pass when they are run

  Scenario: A subscriber with a later revision than its reader is not flooded with messages
    Given 6 entries in 3 zones that follow a store
    When a subscriber has a later revision than the reader
    Then the reader sends the subscriber at most 6 messages in 2 s
    And the steps pass when they are run

  Scenario: Pattern "an entry joins a large fleet": the other subscribers learn only its name
    Given a reader with 40 subscribers that it has listed
    When another entry subscribes
    Then each of the 40 subscribers gets at most 200 bytes, and all of them list 42 entries

  Scenario: Pattern "all entries start at once": no subscriber takes the first few for the whole fleet
    Given a reader without subscribers
    When 12 entries subscribe within 1 s
    Then none of them lists fewer than 13 entries at any time, and all do after 7 s

  Scenario: Pattern "many routes": a subscriber gets a fraction of their size
    Given a reader whose store publishes 1400 routes
    When an entry subscribes
    Then it has the routes after at most a fifth of their encoded size

  Scenario: A compressed message is decoded to a limited size
    Then a message that is longer than 16 MB when decompressed is malformed

  Scenario Outline: A malformed message raises the error that ends only its link
    Then decoding <message> raises an error for a malformed relay message

    Examples:
      | message         |
      | no bytes        |
      | NUL bytes       |
      | an unknown type |
      | a short list    |

  Scenario: An entry whose state came from a reader does not replace it by an old copy
    Then an entry that loses the history after its first state came from a reader reads the current state

  Scenario: The only entry of a deployment counts itself once it has been a reader for 5 s
    Then a single entry is listed at the earliest 5 s and at the latest 7 s after it became a reader
