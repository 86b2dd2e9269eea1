Feature: The platform client tells what took effect
  Runs against the stand-in as a process.

  Scenario Outline: <call> fails with <error> when <fault>
    Given a running platform where "key" has been written
    And the faults <faults>
    When the client calls <call>
    Then it raises <error>
    And the key has revision <revision>

    Examples:
      | fault                  | faults                    | call              | error                    | revision |
      | the service refuses    | {"outage": "refuse"}      | get               | PlatformUnavailableError | 1        |
      | the service refuses    | {"outage": "refuse"}      | put               | PlatformUnavailableError | 1        |
      | the service is silent  | {"outage": "silent"}      | get               | PlatformUnavailableError | 1        |
      | the service is silent  | {"outage": "silent"}      | put               | UnknownOutcomeError      | 1        |
      | the service is slow    | {"slow_ms": 400}          | put               | UnknownOutcomeError      | 2        |
      | the response is lost   | {"drop_put_responses": 1} | put               | UnknownOutcomeError      | 2        |
      | the revision is old    | {}                        | put-old-revision  | ConflictError            | 1        |
      | the lease has ended    | {}                        | put-ended-lease   | LeaseLostError           | 1        |
      | the lease has ended    | {}                        | renew-ended-lease | LeaseLostError           | 1        |
      | the value is too large | {}                        | put-too-large     | RequestRejectedError     | 1        |
      | nobody listens         | {}                        | put-nobody        | PlatformUnavailableError | 1        |

  Scenario: A lease ends no earlier than its deadline and takes its keys along
    Given a running platform where "key" has been written
    When a key is attached to a lease of 500 ms that is renewed once while calls take 200 ms
    Then the key is there until the deadline and a watch sees it disappear

  Scenario: A watch sees a rewound store
    Given a running platform where "key" has been written
    When the store is rewound to before that while a watch waits
    Then the watch returns a lower revision and no values
    And the waiting watch counts as one call

  Scenario: The VM list lags
    Given a running platform with a VM list lag of 300 ms
    When a VM is added beside one with an unusable address
    Then the VM list shows only the first one, and only after the lag
