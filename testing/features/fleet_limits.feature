Feature: Bounds that all entries keep together

  Scenario: Pattern "every server fails": repeats stay within the share of the requests
    Then for every sequence of requests and repeats each window keeps the budget

  Scenario: Pattern "a zone returns cold": shares of a cold target add up
    Then for 3 to 300 entries the shares of a cold target add up to what it bears
    And no window of an entry holds more than its share

  Scenario: Questions to a target stay within their rate
    Then for every sequence of questions each window keeps the rate and the burst

  Scenario: Entries that restart are counted on
    Then an entry is counted for 30 s after it was last heard of, and 32 before any is known

  Scenario: Pattern "a target that is slow or crowded": places are ordered by expected slowness
    Then a free and usual target comes before a crowded one, and that before a slow one

  Scenario: Pattern "many requests wait": those that can still be in time go first
    Then a request waits for a good place, takes a fair one at the end and no worse one

  Scenario Outline: Pattern "all targets refuse": repeats of all entries keep the bound while they take time to arrive
    When <entries> entries repeat all they may for 40 s, and a repeat takes up to 60 ms to arrive
    Then no window of 10 s holds more arrivals beyond the first than 0.2 of its requests and <slack>

    Examples:
      | entries | slack |
      | 3       | 58    |
      | 15      | 58    |
      | 114     | 182   |
