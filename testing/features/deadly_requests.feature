Feature: A request that ends its targets is not sent to more of them
  Guards against one request that takes target after target down, wherever it arrives.

  Scenario Outline: An entry refuses a request under which three targets have ended
    Given a gateway with these targets: cut_in_head,cut_in_head,cut_in_head,cut_in_head,cut_in_head,cut_in_head
    When a caller repeats one <request> 8 times
    Then targets have run it 3 times, and the last caller got status 503 with a Retry-After header

    Examples:
      | request  |
      | lookup   |
      | transfer |

  Scenario: A response that names no request is no evidence, since its target has not ended
    Given a gateway with these targets: refusing_without_id,refusing_without_id,refusing_without_id,refusing_without_id
    When a caller repeats one lookup 6 times
    Then no caller was told that equal requests ended targets

  Scenario Outline: Only targets that ended without a success in between count, <detail>
    When equal requests have these ends, a second apart: <ends>
    Then an equal request is <decision>

    Examples: a and b are targets that ended, ok is a success at any target
      | detail                                          | ends              | decision |
      | one target                                      | a                 | sent     |
      | one target three times                          | a, a, a           | sent     |
      | two targets                                     | a, b              | sent     |
      | three targets                                   | a, b, c           | refused  |
      | a success after them                            | a, b, c, ok       | sent     |
      | a success shortly before, as in a mass failure  | ok, a, b, c       | sent     |
      | a success long before                           | ok, wait, a, b, c | refused  |
      | long after them                                 | a, b, c, long     | sent     |

  Scenario: Whatever the order of events, a request is refused exactly after three targets without a success
    Then for every sequence of ends the decision follows from those since the last success

  Scenario: The evidence stays limited in size
    Then after 20000 different requests that ended a target at most 4096 are remembered

  Scenario: Every entry refuses a request soon after its third target ended, also one that restarts
    Given 6 entries in 3 zones that follow a store
    When three entries report a target that ended under equal requests
    Then every entry refuses an equal request within 2 s
    And an entry that is restarted refuses it within 2 s
    And after a success at one entry every entry sends it within 2 s
    And the steps pass when they are run

  Scenario: Evidence is written again after a failed call, and under a new lease if the lease has ended
    Given a store whose lease of evidence ends, and that fails the next two calls
    When evidence is reported
    Then it is in the store within 2 s

  Scenario: The keys of evidence in the platform's store are read as they are written
    Then evidence in the platform's store is read back from its key, and its removal withdraws it
