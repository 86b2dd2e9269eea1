Feature: Bytes of faulty targets do not take the memory or the time of an entry
  Guards against an entry that keeps what targets send, runs out of memory and loses the requests of all callers.

  Scenario Outline: Targets that send <part> <speed> harm only their own callers
    Given an entry with 200 MB of memory, and <count> targets that send <part> <speed>
    When 200 callers call these targets for 5 s, and others a sound service
    Then the entry still runs, and never took more than its memory
    And all calls of the sound service succeed, nine of ten within its latency objective
    And its metrics can be read

    Examples: parts of a response without end
      | part                                    | speed  | count |
      | a body until the end                    | fast   | 8     |
      | large chunks                            | fast   | 8     |
      | tiny chunks                             | fast   | 8     |
      | every part in turn                      | fast   | 8     |
      | a body until the end                    | slowly | 8     |
      | every part in turn                      | slowly | 8     |
      | every part in turn to load probes, too, | fast   | 2     |

    Examples: responses that their callers do not read
      | part                                    | speed  | count |
      | whole bodies of 6 MB                    | fast   | 8     |

  Scenario: For all sequences of responses, the budget is kept and the largest ones give way
    Then generated responses never exceed the budget, and only the largest is given up
