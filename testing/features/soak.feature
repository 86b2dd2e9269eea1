Feature: Invariants hold under random faults, with real processes

  Scenario Outline: A violation of an invariant is detected
    Guards against a soak test that passes because its checks detect nothing.

    Given a request that <kind> and got <response>
    And targets that <executed>
    Then the invariant "<invariant>" is violated

    Examples:
      | kind              | response                     | executed                | invariant                                                               |
      | is idempotent     | a success of another request | executed it             | a successful response is the target's complete response to this request |
      | is idempotent     | a success                    | did not execute it      | a request with a successful response was executed                       |
      | is idempotent     | a success                    | executed it changed     | targets execute only requests that callers sent, unchanged              |
      | is not idempotent | a success                    | executed it twice       | a non-idempotent request is executed at most once                       |
      | is not idempotent | a rejection                  | executed it             | a request that was rejected as not executed was not executed            |
      | is idempotent     | a success                    | executed it three times | no request is executed by more targets than its route allows            |
      | is idempotent     | no response in time          | executed it             | undisturbed entries respond in time                                     |
      | is idempotent     | a closed connection          | executed it             | undisturbed entries do not close a connection instead of responding     |

  Scenario Outline: All invariants hold in a run with random faults
    Seed 9101 failed once: an entry ended as it started, probably by a SIGHUP before its handler was set.
    Seed 303 failed 30 times on a 503, 429 or 408 that a target sent after it had run the request.

    When the soak runs seed <seed> for <seconds> s
    Then all invariants hold and at least half of the requests were served

    Examples:
      | seed | seconds |
      | 100  | 5       |
      | 204  | 5       |
      | 9101 | 6       |
      | 303  | 6       |
