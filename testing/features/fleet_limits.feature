Feature: Limits that all entries keep together

  Scenario: Pattern "every server fails": retries stay within their share of the requests
    Then for every sequence of requests and retries each window stays within the budget

  Scenario: Pattern "a zone returns cold": shares of a cold target add up
    Then for 3 to 300 entries the shares of a cold target add up to its limit
    And no window of an entry contains more requests than its share

  Scenario: Load probes of a target stay within their rate
    Then for every sequence of probes each window stays within the rate and the burst

  Scenario Outline: Pattern "few requests for each of many entries": an entry may probe its near targets before each request
    When <entries> entries share the probes of <targets> targets that take 60 a second, with 12 near targets each
    Then an entry may send <per_target> probes a second to a near target, and all of them 60 for each target

    Examples:
      | entries | targets | per_target |
      | 3       | 6       | 20         |
      | 15      | 12      | 4          |
      | 15      | 6       | 4          |
      | 131     | 104     | 3.97       |
      | 312     | 259     | 4.15       |
      | 1000    | 1000    | 5          |
      | 312     | 0       | 0.19       |

  Scenario: Pattern "a crowd uses up the load probes": readings may be older the fewer probes are left
    Then readings are reused up to an age that rises from 0 to 250 ms while probes are scarce

  Scenario: Entries that restart stay in the count
    Then an entry is counted for 30 s after it was last seen, and hard limits have no share before any is known

  Scenario: Pattern "a target that is slow or crowded": targets are ordered by expected slowness
    Then a free target at normal speed precedes a busy one, and that precedes a slow one

  Scenario: Pattern "many requests wait": a request accepts a worse target only at the end of its wait
    Then a request waits for a good target, finally accepts a fair one and never a worse one

  Scenario Outline: Pattern "all targets refuse": retries of all entries stay within the budget despite delayed arrival
    When <entries> entries use their whole retry budget for 40 s, and a retry takes up to 60 ms to arrive
    Then no window of 10 s contains more retries than 0.2 of its requests plus <slack>

    Examples:
      | entries | slack |
      | 3       | 58    |
      | 15      | 58    |
      | 114     | 182   |

  Scenario Outline: Pattern "a target in need": all entries together keep the request rate that it states
    When <entries> entries send as much as they may to a target that takes <rate> requests a second, and had sent without a limit before
    Then no window of 4 s contains more requests than that rate allows
    And it gets at least <used> of that rate

    Examples:
      | entries | rate | used |
      | 3       | 2.5  | 0.9  |
      | 15      | 1.4  | 0.8  |
      | 15      | 0.2  | 0.8  |
      | 114     | 1.4  | 0.8  |
      | 114     | 60   | 0.9  |
      | 15      | 0    | 0    |

  Scenario: The times at which a rate leaves room again are exact
    Then for every sequence of requests, a request at each announced time is within the rate, and none before
