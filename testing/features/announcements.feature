Feature: Targets announce that they leave, or that they want a pause

  Scenario Outline: A target that announces in <response> that it leaves gets no further request
    Given a gateway with these targets: <behaviour>,healthy
    And the first target announces in <response> that it leaves
    And the first target is preferred to the second
    When a caller sends lookups before and after <event>
    Then the first target got <count> requests in all, and the second all others

    Examples: whatever the store says of it later
      | behaviour | response     | event                              | count |
      | healthy   | responses    | nothing                            | 1     |
      | failing   | responses    | nothing                            | 1     |
      | refusing  | responses    | nothing                            | 1     |
      | healthy   | load probes  | nothing                            | 0     |
      | healthy   | one response | nothing                            | 1     |
      | healthy   | responses    | an older registration              | 1     |
      | healthy   | responses    | a removal and a registration again | 1     |
      | healthy   | responses    | a snapshot without announcements   | 1     |

  Scenario: Another process at the address of a target that left gets requests
    Given a gateway with these targets: healthy
    And the first target announces in one response that it leaves
    When a caller sends lookups before and after a restart
    Then the first target got 2 requests in all

  Scenario: A target that wants a pause gets no request until its end, and then again
    Given a gateway with these targets: refusing,healthy
    And the first target wants a pause of 600 ms
    And the first target is preferred to the second
    When a caller sends lookups for 500 ms, and again after 1 s
    Then the first target got 1 request before, and at least 1 after

  Scenario: While all targets want a pause, a request is refused at once until the first ends
    Given a gateway with these targets: refusing,refusing
    And the first target wants a pause of 5000 ms
    And the second target wants a pause of 8000 ms
    When a caller sends 6 lookups in turn
    Then the last one was refused within 50 ms, to come back after 4 to 8 s, and no target got it

  Scenario: Refused callers are told different times
    Then 100 refusals during a pause of 1000 ms name at least 50 times from 1000 to 1500 ms

  Scenario Outline: A Retry-After of <value> in status <status> means <meaning>
    Then a response with status <status> and Retry-After <value> means <meaning>

    Examples:
      | status | value                         | meaning             |
      | 503    | 2                             | a pause of 2000 ms  |
      | 503    | 0.25                          | a pause of 250 ms   |
      | 503    | 0                             | a pause of 0 ms     |
      | 503    | 1;3;2                         | a pause of 3000 ms  |
      | 503    | Wed, 21 Oct 2026 07:28:00 GMT | no pause, a problem |
      | 503    | -1                            | no pause, a problem |
      | 503    | nan                           | no pause, a problem |
      | 503    | inf                           | no pause, a problem |
      | 503    | 1, 2                          | no pause, a problem |
      | 503    | 2;soon                        | a pause of 2000 ms, a problem |
      | 429    | 2                             | no pause            |
      | 421    | 2                             | no pause            |

  Scenario Outline: A pause of <stated_ms> ms is bounded
    Then a pause of <stated_ms> ms ends after <low_ms> to <high_ms> ms

    Examples:
      | stated_ms | low_ms | high_ms |
      | 0         | 0      | 0       |
      | 400       | 400    | 500     |
      | 10000     | 10000  | 10500   |
      | 3600000   | 300000 | 300500  |
      | 1e303     | 300000 | 300500  |

  Scenario: A misdirected request tells nothing about the target
    Then a response with status 421 that announces a departure announces nothing

  Scenario: No request goes to a target that left or is paused, whatever happens in between
    Then for every sequence of announcements, registrations, removals and snapshots none is usable
