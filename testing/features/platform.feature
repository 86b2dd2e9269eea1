Feature: The errors of the platform client show whether a write took effect
  The stand-in of the platform runs as a process.

  Scenario Outline: <call> fails with <error> when <fault>
    Given a running platform where "key" has been written
    And the faults <faults>
    When the client calls <call>
    Then it raises <error>
    And the key has revision <revision>

    Examples:
      | fault                   | faults                    | call               | error                    | revision |
      | connections are refused | {"outage": "refuse"}      | get                | PlatformUnavailableError | 1        |
      | connections are refused | {"outage": "refuse"}      | put                | PlatformUnavailableError | 1        |
      | the service is hung     | {"outage": "silent"}      | get                | PlatformUnavailableError | 1        |
      | the service is hung     | {"outage": "silent"}      | put                | UnknownOutcomeError      | 1        |
      | the service is slow     | {"slow_ms": 400}          | put                | UnknownOutcomeError      | 2        |
      | the response is lost    | {"drop_put_responses": 1} | put                | UnknownOutcomeError      | 2        |
      | the revision is stale   | {}                        | put-stale-revision | ConflictError            | 1        |
      | the lease has ended     | {}                        | put-ended-lease    | LeaseLostError           | 1        |
      | the lease has ended     | {}                        | renew-ended-lease  | LeaseLostError           | 1        |
      | the value is too large  | {}                        | put-too-large      | RequestRejectedError     | 1        |
      | the port is closed      | {}                        | put-closed-port    | PlatformUnavailableError | 1        |

  Scenario: A lease ends no earlier than its deadline, and its keys are removed
    Given a running platform where "key" has been written
    When a key is attached to a lease of 500 ms that is renewed once while calls take 200 ms
    Then the key exists until the deadline and a watch reports its removal

  Scenario: A watch detects that the store was rewound
    Given a running platform where "key" has been written
    When the store is rewound to before the write while a watch waits
    Then the watch returns a lower revision and no values
    And the waiting watch counts as one call

  Scenario: The VM list is delayed and contains a VM with an invalid address
    Given a running platform with a VM list lag of 300 ms
    When a VM and another one with an invalid address are added
    Then the VM list contains only the first one, and only after the lag
