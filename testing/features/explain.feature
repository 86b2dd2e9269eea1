Feature: An entry explains how it would handle a request

  Scenario Outline: The answer names <what> for a lookup <key>
    Given a gateway with customers that explains requests
    When it is asked about a lookup <key>
    Then it answers with refusal <refusal>, route <route> and customer <customer>
    And no target got a request or a probe, and neither the answer nor the log has the key

    Examples:
      | what         | key                 | refusal | route  | customer |
      | the customer | with a key of acme  | none    | lookup | acme     |
      | the refusal  | with an unknown key | 401     | lookup | none     |
      | the refusal  | without a key       | 401     | lookup | none     |
      | the refusal  | at an unknown path  | 404     | none   | none     |

  Scenario: Candidates are listed with readings, suspensions and pauses
    Given a gateway with customers that explains requests
    And its targets are read, suspended, paused and draining
    When it is asked about a lookup with a key of acme
    Then the target that was read would be chosen for its cost
    And the answer says that the others are suspended, paused and draining

  Scenario Outline: A body that is no question gets status 400 and is not repeated: <body>
    Given a gateway with customers that explains requests
    Then the body <body> gets status 400 without its content

    Examples:
      | body                                         |
      | {"host": "h", "path": "/", "key": 1234567}   |
      | {"key": "acme-key-1"}                        |
      | acme-key-1                                   |

  Scenario Outline: The command ends with status <status> for <case>
    Given a gateway with customers that explains requests
    When the command explain is run for <case>
    Then it ends with status <status>, prints "<text>" and no key

    Examples:
      | case                  | status | text                  |
      | a key of acme         | 0      | customer acme         |
      | an unknown key        | 1      | refused: 401          |
      | a stopped entry       | 4      | cannot get an explanation      |
      | JSON                  | 0      | "customer":"acme"     |
