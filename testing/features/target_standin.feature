Feature: The target stand-in behaves as the targets that the design page describes
  Tests of the product rely on its execution log, refusals and cold start being exact.

  Scenario: Executions are logged by request id
    Given a warm target
    When requests "a a b" of 5 ms are sent together
    Then its executions are "a:done a:done b:done"

  Scenario Outline: A request that is refused is not run
    Given a warm target with one slot and a queue of one
    When <condition>
    And request "x" of 5 ms with <left_ms> ms left is sent
    Then request "x" ends as "503 not-run"
    And request "x" is not in its executions

    Examples:
      | condition                     | left_ms |
      | it drains                     | 500     |
      | its slot and queue are taken  | 500     |
      | its slot is taken for 200 ms  | 30      |

  Scenario: A deadline that passes while the request runs leaves its outcome unknown
    Given a warm target
    When request "x" of 100 ms with 30 ms left is sent
    Then request "x" ends as "504 unknown"
    And its executions are "x:expired"

  Scenario Outline: A closed connection cancels the request and frees its place
    Given a warm target with one slot and a queue of one
    When <condition>
    And a client sends request "x" of 300 ms and closes the connection after 30 ms
    And request "y" of 5 ms with 500 ms left is sent
    Then request "y" ends as "200"
    And its executions are "<executions>"

    Examples:
      | condition                   | executions         |
      | nothing runs                | x:cancelled y:done |
      | its slot is taken for 80 ms | taken:done y:done  |

  Scenario: A drain finishes work in flight
    Given a warm target
    When it drains while request "x" of 60 ms runs
    Then request "x" ends as "200"
    And the load report of request "x" says "draining"
    And its health says "draining"

  Scenario Outline: A cold target bears only its cold concurrency
    Given a cold target that bears <bears> at once
    When requests "<sent>" of 30 ms are sent together
    Then it has fallen over <falls> times
    And its highest concurrency while cold was <highest>

    Examples:
      | bears | sent  | falls | highest |
      | 1     | a     | 0     | 1       |
      | 1     | a b   | 1     | 2       |
      | 2     | a b   | 0     | 2       |
      | 2     | a b c | 1     | 3       |

  Scenario: A fall-over resets connections and changes the boot id
    Given a cold target that bears 1 at once
    When requests "a b" of 30 ms are sent together
    Then request "a" ends as "no response"
    And request "b" ends as "no response"
    And it comes back cold with another boot id

  Scenario: Work warms a cold target
    Given a cold target that bears 1 at once
    When requests of 20 ms are sent one by one for its warm-up time
    And requests "a b c" of 30 ms are sent together
    Then the load report of request "c" says "warm"
    And it has fallen over 0 times

  Scenario Outline: New connections and probes take slot time
    Given a warm target with one slot, connections of <connect_ms> ms and probes of <probe_ms> ms
    When 5 connections ask for <path> together
    Then the last response comes after 100 ms to 180 ms

    Examples:
      | connect_ms | probe_ms | path    |
      | 20         | 0        | /       |
      | 0          | 20       | /health |
      | 0          | 20       | /load   |

  Scenario: A connection that closes without a request takes slot time as well
    Given a warm target with one slot, connections of 50 ms and probes of 0 ms
    When a connection is opened and closed
    And 1 connections ask for / together
    Then the last response comes after 80 ms to 180 ms

  Scenario Outline: Faults do what their names say
    Given a warm target
    When fault "<fault>" is switched on
    And request "x" of 20 ms with 150 ms left is sent
    Then request "x" ends as "<ending>"

    Examples:
      | fault     | ending        |
      | slow      | 504 unknown   |
      | silent    | no response   |
      | die       | half          |
      | fail-fast | 500           |
      | restart   | no connection |

  Scenario: Silence of open connections spares new ones
    Given a warm target
    When its open connections go silent
    Then a request on an open connection ends as "no response"
    And a request on a new connection ends as "200"

  Scenario: Health lags and misleads
    Given a warm target whose health lags by 100 ms
    When it drains
    Then its health says "ok"
    And after 150 ms its health says "draining"
    And its health says "ok" when it is told to mislead
