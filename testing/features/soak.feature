Feature: Promises under random faults, with real processes

  Scenario Outline: A broken promise is found
    These examples guard against a soak that passes because it looks at nothing.

    Given a request that <kind> and got <answer>
    And targets that <ran>
    Then the promise "<promise>" is broken

    Examples:
      | kind           | answer            | ran                    | promise                                                      |
      | may repeat     | a foreign success | ran it                 | a success is the target's whole response to this request     |
      | may repeat     | a success         | did not run it         | a success was run                                            |
      | may repeat     | a success         | ran it changed         | targets run only what callers sent, unchanged                |
      | must run once  | a success         | ran it twice           | a request that is not idempotent runs at most once           |
      | must run once  | a refusal         | ran it                 | a request that was refused as not run did not run            |
      | may repeat     | a success         | ran it three times     | no request runs on more targets than its route allows        |
      | may repeat     | nothing in time   | ran it                 | callers of calm entries get an answer in time                |
      | may repeat     | a closed connection | ran it               | calm entries do not close connections in place of an answer  |

  Scenario Outline: A run with random faults keeps all promises
    When the soak runs seed <seed> for <seconds> s
    Then all promises are kept and at least half of the requests were served

    Examples:
      | seed | seconds |
      | 100  | 5       |
      | 204  | 5       |
