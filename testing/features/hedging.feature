Feature: Hedged requests

  Scenario: The loser's connection is closed
    Given a gateway with these targets: unresponsive,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, with the usual response times known
    When a lookup is hedged and the connection of its first target is watched
    Then the connection of the first target is closed within 200 ms of the response
    And the metrics count one hedge that was sent, won and cancelled an attempt

  Scenario: Hedging is off unless the limit is set
    Given a gateway with these targets: slow,healthy
    And the first target is preferred to the second
    When a caller sends it a lookup
    Then only the first target got it, 1 time
    And the log has no line about hedges

  Scenario: No hedge is sent before enough response times are known
    Given a gateway with these targets: slow,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, without known response times
    When a caller sends it a lookup
    Then only the first target got it, 1 time
    And the log has no line about hedges

  Scenario: A non-idempotent request is never hedged
    Given a gateway with these targets: slow,healthy
    And the first target is preferred to the second
    And hedges of up to 100 percent, with the usual response times known
    When a caller sends it a transfer
    Then only the first target got it, 1 time
    And the log has no line about hedges

  Scenario Outline: A limit holds hedges back: <limit>
    Given a gateway with these targets: slow,healthy
    And the first target is preferred to the second
    And hedges of up to <percent> percent, with the usual response times known
    And <condition>
    When a caller sends it a lookup
    Then only the first target got it, 1 time
    And the log names "<limit>" as the limit that held the hedge of "r1" back

    Examples:
      | limit            | percent | condition                                              |
      | waiting_requests | 100     | another request waits for a target                     |
      | draining         | 100     | the entry drains once the first target has the request |
      | no_good_target   | 100     | the second target is slow now                          |
      | max_attempts     | 100     | requests go to one target at most                      |
      | slow_service     | 100     | most responses of the service were overdue             |
      | hedge_limit      | 1       | no hedge was saved up yet                              |

  Scenario Outline: The limit is read from the environment: <text>
    Then a hedge limit of <text> is read as <percent> percent

    Examples:
      | text    | percent |
      | nothing | 0       |
      | 0       | 0       |
      | 2.5     | 2.5     |
      | 100     | 100     |

  Scenario Outline: A limit that is not a number from 0 to 100 is an error: <text>
    Then a hedge limit of <text> is an error that names the variable

    Examples:
      | text  |
      | -1    |
      | 100.5 |
      | nan   |
      | inf   |
      | 5 %   |

  Scenario: Load "any requests and hedges": one entry stays within its share
    Then in no history has a window more hedges than its share of the requests and the saved ones

  Scenario Outline: Load "all targets slow at once": <entries> entries stay within the limit
    Then <entries> entries with <per_s> requests a second stay within 5 percent when all want hedges after a calm time
    And they use at least 4.5 percent for hedges while all want them

    Examples:
      | entries | per_s |
      | 3       | 60    |
      | 131     | 1.5   |
      | 312     | 3     |

  Scenario: Load "any response times": percentiles are those of the last responses
    Then no quantile is read before enough samples, and it equals that of the last samples

  Scenario: Load "a tight objective": the hedge is early enough for it
    Then a hedge is sent before the 95th percentile only if that meets the objective

  Scenario Outline: Load "3 % of the responses take 7 times as long": a route of <name>
    When the model runs a route of <name> with hedging off and with <percent> percent
    Then hedging changes p50 by at most 0.1, and lowers p99 at least to <ratio> of it
    And the hedges stay within the limit in each window

    Examples:
      | name   | percent | ratio |
      | 85 ms  | 5       | 0.85  |
      | 281 ms | 10      | 0.7   |

  Scenario: Load "all targets slow at once": a slow service does not double its load
    Given all targets of the model become 4 times slower at once, with 100 percent
    Then less than 10 percent of the requests are hedged in the 10 s after it
    And the hedges stay within the limit in each window

  Scenario: Load "all targets slow at once": an entry notices it after a few overdue responses
    Then a service counts as slow after 6 overdue responses, and seldom at the usual share
