Feature: Reference latencies and bounds of the benchmark are correct
  A wrong reference, or a bound that never breaks, would hide a performance regression.

  Scenario Outline: The single queue assigns each request to the slot that is free first
    Given requests that arrive at <arrivals> ms and take <services> ms
    When they go through one queue in front of <slots> slots
    Then their latencies are <latencies> ms

    Examples:
      | arrivals | services | slots | latencies |
      | 0 1 2    | 10 10 10 | 1     | 10 19 28  |
      | 0 1 2    | 10 10 10 | 3     | 10 10 10  |
      | 0 0 1    | 10 2 5   | 2     | 10 2 6    |
      | 0 50     | 10 10    | 1     | 10 10     |

  Scenario: The single queue matches the Erlang C formula
    Given 200000 requests with exponential service times at 60 % of 4 slots
    When they go through one queue in front of 4 slots
    Then their mean waiting time is that of the Erlang C formula within 10 %

  Scenario: Random routing to one target equals the single queue
    Given 1000 requests with exponential service times at 60 % of 4 slots
    When they go through one queue in front of 4 slots
    Then random routing to 1 target of 4 slots gives the same latencies

  Scenario Outline: A bound is broken if its figure exceeds it
    Given a result of case <case> with <field> <value>
    Then <broken> bounds are broken

    Examples:
      | case         | field                   | value | broken |
      | tail         | ratio_to_ideal          | 1.15  | 0      |
      | tail         | ratio_to_ideal          | 1.16  | 1      |
      | added-200/s  | p99_ms                  | 0.52  | 0      |
      | added-200/s  | p99_ms                  | 0.53  | 1      |
      | direct-200/s | p99_ms                  | 9.0   | 0      |
      | zone         | new_work_after_zone_out | 0     | 0      |
      | zone         | new_work_after_zone_out | 1     | 1      |
      | zone         | duplicates              | 1     | 1      |
      | zone         | errors                  | 1     | 1      |
      | tail         | control_bytes_per_s     | 6001  | 1      |
      | tail         | probes_per_target_s     | 0.5   | 1      |
      | control      | control_cpu_percent     | 1.61  | 1      |
      | control      | control_resident_bytes  | 33e6  | 1      |
      | fault-slow   | ratio_to_healthy        | 1.2   | 0      |
      | fault-slow   | ratio_to_healthy        | 1.21  | 1      |
      | flood        | ratio_to_healthy        | 1.11  | 1      |
      | fault-cold   | fall_overs              | 1     | 1      |

  Scenario Outline: A target that fails fast may attract at most its fair share of requests
    Given a result of case fault-fail-fast with errors <errors>
    And its 1200 requests over 12 targets
    Then <broken> bounds are broken

    Examples:
      | errors | broken |
      | 100    | 0      |
      | 101    | 1      |
