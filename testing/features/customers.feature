Feature: Callers identify their customer by a key
  Guards against a request that runs for the wrong customer, and against a key that leaves the entry.

  Scenario Outline: A request <request> gets status <status>, and its target is told <told>
    Given a gateway whose configuration names the customers acme and zenith
    When its caller sends a request <request>
    Then the caller gets status <status>
    And the target is told <told>, and no key

    Examples: the caller cannot choose its name, and public routes need no key
      | request                                     | status | told    |
      | with a key of acme                          | 200    | acme    |
      | with the second key of acme                 | 200    | acme    |
      | with a key of zenith that names acme        | 200    | zenith  |
      | with an unknown key                         | 401    | nothing |
      | without a key                               | 401    | nothing |
      | with a key of acme for an unknown path      | 404    | nothing |
      | for the public route without a key          | 200    | nobody  |
      | for the public route that names acme        | 200    | nobody  |
      | for the public route with a key of acme     | 200    | nobody  |

  Scenario: Without customers, the headers of a caller reach the target unchanged
    Given a gateway whose configuration names no customers
    When its caller sends a request with a key of acme
    Then the caller gets status 200
    And the target gets the headers of the caller

  Scenario Outline: A key that a version <change> counts from that version on, on open connections too
    Given a gateway whose configuration names the customers acme and zenith
    When its caller sends requests with a key before and after a version <change> it
    Then they get the statuses <statuses>

    Examples:
      | change                    | statuses |
      | takes away                | 200, 401 |
      | adds                      | 401, 200 |
      | moves to another customer | 200, 200 |
      | leaves as the last one of | 200, 200 |
      | takes away with all other | 200, 401 |

  Scenario Outline: A configuration with <problem> is refused as a whole, and no key is logged
    Then a configuration with <problem> is refused, and the reason contains no key

    Examples:
      | problem                       |
      | a key of two customers        |
      | customers in a list           |
      | a list around it              |
      | a customer that is a number   |
      | keys that are a text          |
      | a key that is a number        |
      | an empty key                  |
      | a negative rate               |
      | a rate that is a text         |
      | a priority that is a text     |
      | a name with a line break      |

  Scenario: A configuration with customers is decoded, and relayed without its keys
    Then a configuration with customers has the rates, priorities, kinds and public routes of its text
    And its relayed form contains the names of the customers and no key

  Scenario: A priority of a customer takes precedence over that of its route
    Then a request has the priority of its customer, or of its route if the customer has none

  Scenario: The time of a look-up does not grow with the number of keys
    Then a catalog with 20000 keys finds each by one look-up in a table
