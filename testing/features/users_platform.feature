Feature: The adapter converts settings, store items and headers of the deployment platform

  Scenario Outline: The error for an invalid settings file names the field
    Given valid platform settings
    When its setting <field> is <value>
    Then reading the settings fails and names <named>

    Examples:
      | field                     | value                 | named                     |
      | nodeName                  | missing               | nodeName                  |
      | zone                      | a number              | zone                      |
      | listenAddresses           | missing               | listenAddresses           |
      | listenAddresses.frontend  | not an address        | listenAddresses.frontend  |
      | listenAddresses.readiness | missing               | listenAddresses.readiness |
      | seedNodes                 | ["somewhere"]         | seedNodes                 |
      | platform.address          | not an address        | platform.address          |
      | internalPortRange         | missing               | internalPortRange         |
      | contractParams            | ["gracePeriodS=soon"] | gracePeriodS              |

  Scenario: Unknown settings are ignored and known ones are read
    Given valid platform settings
    When an unknown field is added
    Then the settings contain the fleet limits in milliseconds

  Scenario: A configuration is decoded into routes and services
    Then the example configuration has its version, routes, weights and times

  Scenario Outline: An invalid item is skipped and logged
    When <item> is decoded as an item
    Then it is skipped and logged with its key

    Examples:
      | item                            |
      | a target without an address     |
      | a target in an unknown state    |
      | a target whose info is a string |
      | a target of invalid JSON        |
      | a configuration without version |
      | a reader without an address     |

  Scenario: An invalid route or service is skipped without affecting the others
    Then a configuration with one invalid route and one invalid service keeps the others

  Scenario: The registrations of targets and readers are decoded
    Then the example registration has its service, zone, address, state and start time

  Scenario Outline: A response is classified by its status and headers
    Then a response with <status> and <headers> is classified as <kind>

    Examples:
      | status | headers            | kind    |
      | 200    | signature          | SUCCESS |
      | 200    | nothing            | INVALID |
      | 200    | signature,encoding | INVALID |
      | 404    | signature          | SUCCESS |
      | 500    | signature          | FAILURE |
      | 504    | signature          | FAILURE |
      | 503    | not run            | NOT_RUN |
      | 429    | not run            | NOT_RUN |
      | 400    | not run            | NOT_RUN |
      | 421    | nothing            | NOT_RUN |
      | 503    | nothing            | INVALID |
      | 200    | signature,not run  | SUCCESS |
      | 408    | not run            | NOT_RUN |
      | 503    | signature,not run  | NOT_RUN |
      | 408    | nothing            | INVALID |
      | 503    | signature,encoding | INVALID |
      | 408    | signature          | UNPROVEN_REFUSAL |
      | 429    | signature          | UNPROVEN_REFUSAL |
      | 503    | signature          | UNPROVEN_REFUSAL |

  Scenario Outline: The request rate that a target states is decoded
    Then a load probe response with the rate "<field>" states <rate> requests a second

    Examples:
      | field | rate |
      | 1.4   | 1.4  |
      | 12    | 12   |
      | 0     | 0    |
      |       | no   |
      | -1    | no   |
      | nan   | no   |
      | inf   | no   |
      | 5/s   | no   |

  Scenario: Hop-by-hop headers and headers that the entry sets are not forwarded
    Then a forged target and deadline are replaced, and headers named by Connection are dropped
