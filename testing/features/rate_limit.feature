Feature: Targets that state how many requests a second they take from all entries

  Scenario: Pattern "a crowd before a target in need": an entry sends its share and refuses the rest at once
    Given a gateway that is one of 4 entries, with targets that take these rates: 2
    When 12 callers send a lookup at the same time
    Then each target ran at most its share of 4 s of its rate
    And the others got status 503 with Retry-After within 300 ms

  Scenario: Pattern "a few targets in need": the others take the requests
    Given a gateway that is one of 4 entries, with targets that take these rates: 2, any
    When 12 callers send a lookup at the same time
    Then each target ran at most its share of 4 s of its rate
    And all requests were served

  Scenario: A target that takes no requests at all gets none
    Given a gateway that is one of 4 entries, with targets that take these rates: 0, any
    When 12 callers send a lookup at the same time
    Then the first target ran 0 requests
    And all requests were served

  Scenario: Requests before the target stated its rate count
    Given a gateway that is one of 4 entries, with targets that take these rates: any
    And 6 callers were served before the target states the rate 2
    When 12 callers send a lookup at the same time
    Then the first target ran 6 requests

  Scenario: A target that no longer states a rate takes requests again
    Given a gateway that is one of 4 entries, with targets that take these rates: 0
    And the target states no rate 1200 ms after a refusal
    When 12 callers send a lookup at the same time
    Then all requests were served

  Scenario: An entry that knows no other entry takes no share of the rate
    Given a gateway that is one of 0 entries, with targets that take these rates: 16
    When 12 callers send a lookup at the same time
    Then the first target ran 0 requests

  Scenario: An entry that knows no other entry takes no share of a cold target
    Given a gateway that knows no other entry, with one cold target that takes 64 requests a second
    When 12 callers send a lookup at the same time
    Then the first target ran 0 requests

  Scenario: A request that was not sent is not counted
    Given a gateway that is one of 4 entries, with targets that take these rates: 1
    When a request claims the target and is released without being sent
    Then another request can claim the target
