Feature: The order of waiting requests, and refusals when they come

  Scenario Outline: Pattern "one customer at 7.5 times its usual load": it bears the cost itself
    When 8 customers wait for targets at <room> of their usual rate, one with 7.5 times its load
    Then each other customer is served at least <peers> of its requests
    And in order of arrival the others are served less than <arrival> of theirs

    Examples:
      | room | peers | arrival |
      | 1.2  | 0.95  | 0.8     |
      | 1.0  | 0.75  | 0.65    |

  Scenario: Pattern "all customers beyond their load": customers that wait are served equally often
    Then for every sequence of waits, services of two customers that both wait differ by at most one

  Scenario: Pattern "twice the load of one route": an urgent request goes before all others of its service
    Then for every sequence of waits with customers, no request is served while a more urgent one waits

  Scenario: Pattern "no customers": the order is that of the objective, the priority and the arrival
    Then for every sequence of waits without customers, the order is as sorted by these three

  Scenario: Pattern "demand in waves": the number of requests ahead is exact
    Then for every sequence of waits, a new request is served after as many as were counted before it

  Scenario: Pattern "clients that retry at once": left requests take no memory and return to no queue
    When 5000 requests of 50 customers come and leave, 10 at a time, most without a target
    Then the order holds at most 400 items, and a request that left while set aside stays out

  Scenario Outline: Pattern "<load>": no request is refused that would get a target in its wait
    When waiting requests get <before> targets a second, and then <after>
    Then of the requests refused by the forecast, at most <wrong> would have got a target in time
    And <refused> of those that would not are refused

    Examples:
      | load                                | before | after | wrong | refused    |
      | twice the load of one route         | 4      | 4     | 0.06  | at least 1 |
      | a sixth of the targets slow         | 8      | 2     | 0.06  | at least 1 |
      | a start, without evidence           | 0      | 4     | 0.0   | none       |
      | targets of fair cost are left       | fair   | 4     | 0.0   | none       |
      | demand in waves, no wait in vain    | enough | 4     | 0.0   | none       |

  Scenario: Pattern "clients that retry 3 times": refused callers come back at the rate of the targets
    When 40 callers with 30 s are refused within a moment at a rate of 5 targets a second
    Then at most 10 of them come back in any second, and no two together
    And no caller is told more than a third of the time that it has left

  Scenario: Pattern "deadline already lost": a request that no target can complete in time does not wait
    Then a request is refused instead of waiting if its deadline is nearer than its usual time

  Scenario: A full queue refuses at once, with a true Retry-After, and a request alone waits
    When 16 callers send a lookup to an entry that assigned 4 targets a second and has none now
    Then some get status 503 before the first wait ends, with a Retry-After that follows from the rate
    And no target ran a refused one, and the metrics and the log show why
