Feature: Customers send what their quota allows over all entries together
  Guards against requests beyond a quota that reach targets, and against refusals within a quota.

  Scenario Outline: In calm, a customer at 0.62 of its rate is hardly ever refused
    Given a fleet of <entries> entries and a customer with <rate> requests a second
    When it sends 0.62 of its rate for <seconds> s to some entries, unevenly
    Then at most 0.001 of its requests are refused, and the quota holds

    Examples:
      | entries | rate | seconds |
      | 3       | 1    | 300     |
      | 3       | 10   | 100     |
      | 3       | 145  | 30      |
      | 131     | 1    | 60      |
      | 131     | 10   | 60      |
      | 131     | 145  | 20      |
      | 312     | 10   | 30      |
      | 312     | 145  | 15      |

  Scenario Outline: A customer at 7.5 times its usual rate gets its quota, and not more
    Given a fleet of <entries> entries and a customer with <rate> requests a second
    When it sends 4.7 of its rate for 15 s to some entries, unevenly
    Then it gets at least 0.9 of its rate, and the quota holds

    Examples:
      | entries | rate |
      | 3       | 1    |
      | 3       | 145  |
      | 131     | 10   |
      | 131     | 145  |
      | 312     | 45   |

  Scenario Outline: A customer whose requests all come by one entry gets nearly its whole rate
    Given a fleet of <entries> entries and a customer with 145 requests a second
    When it sends <part> of its rate for 20 s to one entry
    Then it gets at least 0.92 of what it may have, and the quota holds

    Examples:
      | entries | part |
      | 3       | 0.62 |
      | 131     | 0.62 |
      | 131     | 1.0  |
      | 131     | 4.7  |

  Scenario: The lead of 131 entries with 920 requests a second gets about 300 calls a second
    Given 131 entries and 83 customers that send 920 requests a second
    Then the lead gets at most 320 calls a second, and at most 0.001 of all are refused

  Scenario Outline: The quota holds while <faults>
    Then for random histories with 13 to 131 entries in which <faults>, no window exceeds the quota

    Examples:
      | faults                                         |
      | entries are cut off, with a lead on both sides |
      | entries and leads are frozen                   |
      | entries and leads are killed and restarted     |
      | entries join a fleet that runs                 |
      | all entries start again                        |
      | faults of all kinds meet                       |

  Scenario Outline: The quota holds where <cause>
    Then the histories in which <cause> do not exceed the quota

    Examples: each exceeded the quota once
      | cause                                        |
      | frozen entries read old answers              |
      | restarted leads do not know the fleet        |
      | entries advance just before they are cut off |
      | the lead is cut off twice in a row           |

  Scenario: A lower limit takes effect at once
    Given a fleet of 131 entries and a customer with 145 requests a second
    When its limit is lowered to 20 while it sends 4.7 of its rate
    Then no window after the change exceeds the new quota

  Scenario: A higher limit takes effect at once
    Given a fleet of 131 entries and a customer with 20 requests a second
    When its limit is raised to 145 while it sends 100 requests a second
    Then at most 0.02 of the requests from 1 s after the change on are refused

  Scenario: Tokens that are given back, or not used in time, are granted again
    Then a token that is given back is reported to the lead with the next call
    And granted tokens that are not used within 500 ms are reported as given back

  Scenario: A call without an answer charges what was used, and gives nothing back twice
    Then after a call without an answer, used tokens are reported again and others are not

  Scenario: An entry that was frozen does not take an old answer for a new one
    Then an answer that is read 5 s after its call allows no request

  Scenario: A lead that has just started divides the quota by the entries that its callers know
    Then a lead without a list grants 40 entries 40/131 of a quota if they know 131 entries

  Scenario: Refused callers are told different times, after which there are tokens
    Then the times for refused callers are not before the end of the refusal, and differ

  Scenario: Messages about tokens are short
    Then a request for 3 customers and its grant take at most 60 bytes each

  Scenario Outline: A request of a customer <customer> gets status <status>
    Given a gateway for a customer whose quota is used up and another one without a limit
    When a caller sends a request of the customer <customer>
    Then it gets status <status> and <sends> reach a target

    Examples:
      | customer                | status | sends      |
      | whose quota is used up  | 429    | 0 requests |
      | without a limit         | 200    | 1 requests |

  Scenario: A refusal by quota promises that the request was not run
    Then a refusal by quota counts as not run

  Scenario Outline: The token of a request <event> is <fate>
    When a request of a customer with a quota <event>
    Then its token is <fate>

    Examples:
      | event                        | fate       |
      | finds no target              | given back |
      | is answered by a target      | spent      |
      | is not answered by a target  | spent      |

  Scenario: The quota holds and requests are served while real leads end
    Given three readers and two entries, linked over the relay
    When a customer with 100 requests a second sends 400, and the lead ends after 2 s
    Then the quota holds, and the next lead grants tokens within 3 s
