Feature: The request path

  Scenario Outline: A caller learns what became of its request
    Given targets that behave as <targets>
    When a caller sends <request>
    Then the caller gets <status> with outcome <outcome>
    And the targets saw <writes> requests and <events> were reported

    Examples:
      | targets      | request              | status | outcome | writes | events           |
      | well         | a lookup             | 200    | none    | 1      | Response         |
      | refusing     | a transfer           | 503    | not-run | 1      | Refusal          |
      | refusing     | a lookup             | 503    | not-run | 1      | Refusal          |
      | cut          | a transfer           | 502    | unknown | 1      | Reset            |
      | invalid      | a transfer           | 502    | unknown | 1      | Failure          |
      | silent       | a hurried transfer   | 504    | unknown | 1      | Failure          |
      | silent,well  | a lookup             | 200    | none    | 2      | Failure,Response |
      | silent,well  | a hurried transfer   | 504    | unknown | 1      | Failure          |
      | down         | a transfer           | 503    | not-run | 0      | Reset            |
      | down,well    | a transfer           | 200    | none    | 1      | Reset,Response   |
      | cut,well     | a lookup             | 200    | none    | 2      | Reset,Response   |
      | cut,well     | a transfer           | 502    | unknown | 1      | Reset            |
      | refusing,well| a lookup             | 200    | none    | 2      | Refusal,Response |
      | refusing,well| a transfer           | 200    | none    | 2      | Refusal,Response |
      | refusing,cut | a transfer           | 502    | unknown | 2      | Refusal,Reset    |
      | cut,refusing | a lookup             | 502    | unknown | 2      | Reset,Refusal    |
      | cut,well     | a long lookup        | 502    | unknown | 1      | Reset            |
      | well         | a long lookup        | 200    | none    | 1      | Response         |
      | early        | a long lookup        | 413    | none    | 1      | Response         |
      | well         | an expired lookup    | 503    | not-run | 0      | no events        |
      | well         | a marked lookup      | 200    | none    | 1      | Response         |
      | cut,well     | a marked lookup      | 502    | unknown | 1      | Reset            |
      | cut,well     | a disguised transfer | 502    | unknown | 1      | Reset            |
      | well         | an unknown host      | 404    | not-run | 0      | no events        |
      | well         | a bad timeout        | 400    | not-run | 0      | no events        |
      | well         | a proxy target       | 400    | not-run | 0      | no events        |
      | well         | a long head          | 431    | not-run | 0      | no events        |
      | well         | an upgrade           | 200    | none    | 1      | Response         |

  Scenario: Retries end when the budget is spent
    Given targets that behave as cut,well
    When a caller sends a lookup without retry budget
    Then the caller gets 502 with outcome unknown

  Scenario Outline: Responses without a body keep their framing
    Then a <method> with response <status> is followed by another response

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario Outline: A behaviour of the request path
    Then the request path shows that <behaviour>

    Examples:
      | behaviour                                                   |
      | hop-by-hop headers are removed and hop headers are set      |
      | a body announced with Expect is asked for                   |
      | informational responses are passed on                       |
      | a caller that closes ends the connection to the target      |
      | a caller that closes leaves the queue                       |
      | a full queue refuses at once and a free place is used       |
      | the send right is checked last                              |
      | a pooled connection is used again                           |
      | a connection idle too long is not used for a transfer       |
      | a stale connection is replaced for a lookup                 |
      | a silent target is not asked twice                          |
      | a full pool after an unknown outcome is not reported as not run |
      | a request without a usable target is handed on once         |
      | a drain finishes requests in flight                         |
      | a request that meets the end of an idle connection is refused as not run |
      | a slow head is refused                                      |
      | a cut response resets the connection of an HTTP/1.0 caller  |
