Feature: The load tool reports what callers received
  A fault of the load tool could hide truncated, swapped or duplicated responses of an entry.

  Scenario Outline: A response counts as whole only if it is the complete response to its own request
    Given a planned request of <planned_bytes> bytes
    When the response has status <status>, outcome header "<header>" and <fault>
    Then the load tool counts it as <outcome>

    Examples:
      | planned_bytes | status | header   | fault                        | outcome |
      | 200           | 200    |          | no fault                     | whole   |
      | 0             | 200    |          | no fault                     | whole   |
      | 200           | 200    |          | the body of another request  | broken  |
      | 200           | 200    |          | the id of another request    | broken  |
      | 200           | 200    |          | one byte less                | broken  |
      | 200           | 200    |          | one byte more                | broken  |
      | 200           | 200    |          | one changed byte             | broken  |
      | 200           | 200    |          | the digest of another body   | broken  |
      | 200           | 503    | not-run  | no fault                     | not_run |
      | 200           | 502    | unknown  | no fault                     | unknown |
      | 200           | 504    | unknown  | no fault                     | unknown |
      | 200           | 500    |          | no fault                     | error   |
      | 200           | 503    |          | no fault                     | error   |

  Scenario Outline: The outcome of a failed connection depends on the part of the response received
    Given a server that <behaviour>
    When the load tool sends one request to it
    Then the load tool counts it as <outcome>

    Examples:
      | behaviour                           | outcome |
      | does not listen                     | not_run |
      | closes before the response          | unknown |
      | never responds                      | unknown |
      | stops in the middle of the body     | broken  |
      | closes in the middle of the head    | unknown |
      | closes before the last chunk        | broken  |
      | sends the response to another       | broken  |

  Scenario Outline: Executions at the targets are compared with the outcomes
    Given a request that is <kind> and was reported as <outcome>
    When the targets logged <executions>
    Then the comparison counts <duplicates> duplicates, <repeats> repeats, <ran> not run but ran and <not_done> whole but not done

    Examples:
      | kind           | outcome | executions   | duplicates | repeats | ran   | not_done |
      | non-idempotent | whole   | done         | 0          | 0       | 0     | 0        |
      | non-idempotent | whole   | done done    | 1          | 0       | 0     | 0        |
      | non-idempotent | unknown | started done | 1          | 0       | 0     | 0        |
      | idempotent     | whole   | started done | 0          | 1       | 0     | 0        |
      | idempotent     | not_run | none         | 0          | 0       | 0     | 0        |
      | idempotent     | not_run | cancelled    | 0          | 0       | 1     | 0        |
      | idempotent     | whole   | none         | 0          | 0       | 0     | 1        |
      | idempotent     | whole   | cancelled    | 0          | 0       | 0     | 1        |

  Scenario: Latency counts from the scheduled instant
    Given a server that closes each connection
    When two requests are scheduled while the sender is blocked for 200 ms
    Then both latencies include the time for which the sender was blocked

  Scenario: Timers of the stand-ins have a resolution below a millisecond
    When the curio kernel of the stand-ins sleeps 100 times for 0.2 ms
    Then the mean sleep is below 0.9 ms

  Scenario: The kernel serves more file descriptors than select supports
    When 1100 sockets are open in the curio kernel of the stand-ins
    Then a message on the last one arrives
