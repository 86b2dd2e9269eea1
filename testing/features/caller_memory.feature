Feature: Callers do not take the memory, the connections or the time of an entry
  Guards against an entry that runs out of memory or descriptors, or responds to no one else, because of what
  callers send or keep open. The crowd and the bounds follow from the settings in testing/caller_memory/load.py:
  the bodies of the crowd would take twice the memory, and its idle connections all descriptors.

  Scenario Outline: A crowd of callers that send <kind> does not keep an ordinary caller from its response
    Given an entry with lowered limits on memory, bodies and descriptors
    When a crowd of callers sends <kind> and stays connected, and an ordinary caller sends a request
    Then the entry still runs
    And it took no more than its memory and its descriptors
    And the ordinary caller got status 200

    Examples:
      | kind                             |
      | whole bodies that stop short     |
      | bodies in pieces that stop short |
      | large chunks that stop short     |
      | one-byte chunks that stop short  |
      | announced bodies over the limit  |
      | chunked bodies over the limit    |
      | all of these in turn             |
      | nothing                          |

  # Guards against limits that a single request within the configuration meets in calm.
  Scenario: A single request of legal size is served in calm
    Given an entry with lowered limits on memory, bodies and descriptors
    Then a request with a body of the largest legal size gets status 200
    And a request with a body in chunks of one byte gets status 200

  # Guards against an account that drifts from what is held, or in which large requests shut out small ones.
  Scenario: For all sequences of requests, the account is exact and keeps room for small requests
    Then generated requests never exceed the budget, and large ones never take the room for small ones
