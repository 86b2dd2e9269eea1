Feature: Trace contexts are propagated by each hop, without cost when tracing is off

  # An entry that ignored the parent's sampled flag or forwarded a malformed context would split
  # traces.
  Scenario Outline: With <percent> % and <incoming>, the next hop gets <outgoing>
    Given traces of <percent> % of the requests
    When a request with <incoming> ends with status 200
    Then the next hop gets <outgoing>
    And <spans> spans are exported

    Examples:
      | percent | incoming              | outgoing                    | spans |
      | 100     | no context            | a new trace that is sampled | 1     |
      | 0.0001  | no context            | a new trace, not sampled    | 0     |
      | 0.0001  | a sampled parent      | a child that is sampled     | 1     |
      | 100     | a parent, not sampled | a child, not sampled        | 0     |
      | 100     | a malformed parent    | a new trace that is sampled | 1     |
      | 100     | two parents           | a new trace that is sampled | 1     |

  # The state belongs to the parent's trace; other headers must not be changed by tracing.
  Scenario: The trace state of a parent is forwarded and other headers are unchanged
    Given traces of 100 % of the requests
    When a request with a parent and its state ends with status 200
    Then the next hop gets the state and the other headers unchanged

  Scenario: An exported span names its parent, the request and the response
    Given traces of 100 % of the requests
    When a request with a sampled parent ends with status 503
    Then the exported span has the parent, the service, the request id and status 503

  Scenario Outline: The request path starts and ends one span for <request> to <targets> targets
    Given targets that behave as <targets>
    And the request path is traced
    When a caller sends <request>
    Then one span ended with status <status>
    And each target got the context of that span

    Examples:
      | targets           | request                  | status |
      | healthy           | an idempotent request    | 200    |
      | truncated,healthy | an idempotent request    | 200    |
      | refusing          | a non-idempotent request | 503    |

  # The SDK takes several megabytes, more than the memory budget of the control plane allows.
  Scenario: Without sampling the OpenTelemetry packages are not imported
    Then the entry process with sampling off has imported no OpenTelemetry package

  # The distribution file contains no SDK; an entry must report that before it accepts callers.
  Scenario: Sampling without the SDK fails with a message that gives the fix
    Then opening traces without the SDK fails with "install kingcupusher[traces] or use 0"
