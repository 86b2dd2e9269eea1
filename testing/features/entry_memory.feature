Feature: Bytes of faulty targets do not take the memory or the time of an entry
  Guards against an entry that keeps what targets send, runs out of memory and loses the requests of all callers.

  Scenario Outline: Targets that send <part> <speed> harm only their own callers
    Given an entry with 200 MB of memory, and targets that send <part> <speed>
    When 200 callers call these targets for 5 s, and others a sound service
    Then the entry still runs, and never took more than its memory
    And all calls of the sound service succeed, nine of ten within its latency objective

    Examples: parts of a response without end
      | part                | speed  |
      | a body until the end | fast  |
      | large chunks        | fast   |
      | tiny chunks         | fast   |
      | every part in turn  | fast   |
      | a body until the end | slowly |
      | every part in turn  | slowly |
      | every part in turn to load probes, too, | fast |

    Examples: responses that their callers do not read
      | part                | speed  |
      | whole bodies of 6 MB | fast  |

  Scenario: For all sequences of responses, the budget is kept and the largest ones give way
    Then generated responses never exceed the budget, and only the largest is given up
