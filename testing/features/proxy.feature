Feature: Request path of an entry

  Scenario Outline: The caller's response and the reported events match what happened
    Given targets that behave as <targets>
    When a caller sends <request>
    Then the caller gets <status> with outcome <outcome>
    And the targets received <writes> requests and <events> were reported

    Examples:
      | targets            | request                                       | status | outcome | writes | events           |
      | healthy            | an idempotent request                         | 200    | none    | 1      | Response         |
      | refusing           | a non-idempotent request                      | 503    | not-run | 1      | Refusal          |
      | refusing           | an idempotent request                         | 503    | not-run | 1      | Refusal          |
      | failing with an outcome | a non-idempotent request                 | 503    | none    | 1      | Response         |
      | truncated          | a non-idempotent request                      | 502    | unknown | 1      | Reset            |
      | invalid            | a non-idempotent request                      | 502    | unknown | 1      | Failure          |
      | interim only       | a non-idempotent request                      | 502    | unknown | 1      | Failure          |
      | a long head        | a non-idempotent request                      | 502    | unknown | 1      | Failure          |
      | silent             | a non-idempotent request with a short timeout | 504    | unknown | 1      | Failure          |
      | silent,healthy     | an idempotent request                         | 200    | none    | 2      | Failure,Response |
      | silent,healthy     | a non-idempotent request with a short timeout | 504    | unknown | 1      | Failure          |
      | down               | a non-idempotent request                      | 503    | not-run | 0      | Reset            |
      | down,healthy       | a non-idempotent request                      | 200    | none    | 1      | Reset,Response   |
      | truncated,healthy  | an idempotent request                         | 200    | none    | 2      | Reset,Response   |
      | truncated,healthy  | a non-idempotent request                      | 502    | unknown | 1      | Reset            |
      | refusing,healthy   | an idempotent request                         | 200    | none    | 2      | Refusal,Response |
      | refusing,healthy   | a non-idempotent request                      | 200    | none    | 2      | Refusal,Response |
      | refusing,truncated | a non-idempotent request                      | 502    | unknown | 2      | Refusal,Reset    |
      | truncated,refusing | an idempotent request                         | 502    | unknown | 2      | Reset,Refusal    |
      | truncated,healthy  | an idempotent request with a long body        | 502    | unknown | 1      | Reset            |
      | healthy            | an idempotent request with a long body        | 200    | none    | 1      | Response         |
      | early              | an idempotent request with a long body        | 413    | none    | 1      | Response         |
      | healthy            | an expired request                            | 503    | not-run | 0      | no events        |
      | healthy            | a request marked as non-idempotent            | 200    | none    | 1      | Response         |
      | truncated,healthy  | a request marked as non-idempotent            | 502    | unknown | 1      | Reset            |
      | truncated,healthy  | a non-idempotent encoded path                 | 502    | unknown | 1      | Reset            |
      | healthy            | an unknown host                               | 404    | not-run | 0      | no events        |
      | healthy            | an invalid timeout                            | 400    | not-run | 0      | no events        |
      | healthy            | an absolute-form target                       | 400    | not-run | 0      | no events        |
      | healthy            | an oversized head                             | 431    | not-run | 0      | no events        |
      | healthy            | an upgrade                                    | 200    | none    | 1      | Response         |

  Scenario Outline: A refusal that the target sends again does not count for the next request, <detail>
    Given a target that echoes request identifiers and refuses the first request
    When it sends the refusal again, <detail>, before its response to the next request
    Then the caller of the next request gets 502 with outcome unknown

    Examples:
      | detail                              |
      | with the identifier of the first    |
      | without an identifier               |

  Scenario: A response that ends within its head is not a success, wherever it is cut
    Then no cut of a response head is delivered as a success

  Scenario: No retry is made when the retry budget is exhausted
    Given targets that behave as truncated,healthy
    When a caller sends an idempotent request without retry budget
    Then the caller gets 502 with outcome unknown

  Scenario Outline: A response without a body leaves the connection usable
    Then a <method> with response <status> is followed by another response

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario Outline: Single behaviours of the request path
    Then the request path shows that <behaviour>

    Examples:
      | behaviour                                                                 |
      | hop-by-hop headers are removed and per-hop headers are set                |
      | a request with Expect gets an interim response                            |
      | informational responses are forwarded                                     |
      | a disconnect of the caller closes the connection to the target            |
      | a disconnect of the caller removes its request from the queue             |
      | a full queue rejects at once and a released slot is reused                |
      | the permission to send is checked just before the write                   |
      | a pooled connection is reused                                             |
      | a connection idle for long is not reused for a non-idempotent request     |
      | a stale connection is replaced for an idempotent request                  |
      | a target that did not respond gets no retry of the request                |
      | a full pool after an unknown outcome is not reported as not-run           |
      | a request without a usable target is handed off once                      |
      | a drain finishes requests in flight                                       |
      | a request sent while its idle connection is closed is rejected as not-run |
      | a slow request head is rejected                                           |
      | a response in tiny chunks lets other tasks run                            |
      | a caller that waits for its response is not idle                          |
      | a truncated response resets the connection of an HTTP/1.0 caller          |
