Feature: The target stand-in behaves as the targets that the design page describes
  Other tests depend on the accuracy of its execution log, refusals and cold start.

  Scenario: Executions are logged by request id
    Given a warm target
    When requests "a a b" of 5 ms are sent concurrently
    Then the execution log is "a:done a:done b:done"

  Scenario Outline: A request that is refused is not run
    Given a warm target with one slot and a queue of one
    When <condition>
    And request "x" of 5 ms with a timeout of <timeout_ms> ms is sent
    Then request "x" has the result "503 not-run"
    And request "x" is not in the execution log

    Examples:
      | condition                        | timeout_ms |
      | it drains                        | 500        |
      | its slot and queue are occupied  | 500        |
      | its slot is occupied for 200 ms  | 30         |

  Scenario: A deadline that passes while the request runs leaves its outcome unknown
    Given a warm target
    When request "x" of 100 ms with a timeout of 30 ms is sent
    Then request "x" has the result "504 unknown"
    And the execution log is "x:expired"

  Scenario Outline: A closed connection cancels its request and frees the slot or queue place
    Given a warm target with one slot and a queue of one
    When <condition>
    And a client sends request "x" of 300 ms and closes the connection after 30 ms
    And request "y" of 5 ms with a timeout of 500 ms is sent
    Then request "y" has the result "200"
    And the execution log is "<executions>"

    Examples:
      | condition                      | executions         |
      | no request runs                | x:cancelled y:done |
      | its slot is occupied for 80 ms | first:done y:done  |

  Scenario: A draining target completes its requests in flight
    Given a warm target
    When it drains while request "x" of 60 ms runs
    Then request "x" has the result "200"
    And the load report of request "x" has state "draining"
    And the health check returns "draining"

  Scenario Outline: A cold target falls over above its concurrency limit
    Given a cold target with a concurrency limit of <limit>
    When requests "<sent>" of 30 ms are sent concurrently
    Then it has fallen over <falls> times
    And its highest concurrency while cold was <highest>

    Examples:
      | limit | sent  | falls | highest |
      | 1     | a     | 0     | 1       |
      | 1     | a b   | 1     | 2       |
      | 2     | a b   | 0     | 2       |
      | 2     | a b c | 1     | 3       |

  Scenario: A fall-over resets connections and changes the boot id
    Given a cold target with a concurrency limit of 1
    When requests "a b" of 30 ms are sent concurrently
    Then request "a" has the result "no response"
    And request "b" has the result "no response"
    And it restarts cold with another boot id

  Scenario: A cold target becomes warm by running requests
    Given a cold target with a concurrency limit of 1
    When requests of 20 ms are sent one by one for its warm-up time
    And requests "a b c" of 30 ms are sent concurrently
    Then the load report of request "c" has state "warm"
    And it has fallen over 0 times

  Scenario Outline: New connections and probes take slot time
    Given a warm target with one slot, connections of <connect_ms> ms and probes of <probe_ms> ms
    When 5 connections request <path> concurrently
    Then the last response arrives after 100 ms to 180 ms

    Examples:
      | connect_ms | probe_ms | path    |
      | 20         | 0        | /       |
      | 0          | 20       | /health |
      | 0          | 20       | /load   |

  Scenario: A connection that closes without a request takes slot time as well
    Given a warm target with one slot, connections of 50 ms and probes of 0 ms
    When a connection is opened and closed
    And 1 connections request / concurrently
    Then the last response arrives after 80 ms to 180 ms

  Scenario Outline: A fault changes the result of a request
    Given a warm target
    When fault "<fault>" is switched on
    And request "x" of 20 ms with a timeout of 150 ms is sent
    Then request "x" has the result "<ending>"

    Examples:
      | fault     | ending        |
      | slow      | 504 unknown   |
      | silent    | no response   |
      | die       | truncated     |
      | fail-fast | 500           |
      | restart   | no connection |

  Scenario: A fault that silences open connections does not affect new ones
    Given a warm target
    When its open connections stop responding
    Then a request on an open connection has the result "no response"
    And a request on a new connection has the result "200"

  Scenario: Health checks return delayed and false states
    Given a warm target that delays its health by 100 ms
    When it drains
    Then the health check returns "ok"
    And after 150 ms the health check returns "draining"
    And the health check returns "ok" under the mislead fault
