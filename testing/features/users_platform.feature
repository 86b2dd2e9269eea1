Feature: What the users' platform says becomes the product's types, once

  Scenario Outline: A settings file that cannot be used is refused with the field and the fix
    Given the settings of an entry on the users' platform
    When its setting <field> is <value>
    Then reading the settings fails and names <named>

    Examples:
      | field                     | value      | named                     |
      | nodeName                  | missing    | nodeName                  |
      | zone                      | a number   | zone                      |
      | listenAddresses           | missing    | listenAddresses           |
      | listenAddresses.frontend  | not an address | listenAddresses.frontend |
      | listenAddresses.readiness | missing    | listenAddresses.readiness |
      | seedNodes                 | ["somewhere"] | seedNodes              |
      | platform.address          | not an address | platform.address      |
      | internalPortRange         | missing    | internalPortRange         |
      | contractParams            | ["gracePeriodS=soon"] | gracePeriodS   |

  Scenario: Unknown settings are ignored and known ones are read
    Given the settings of an entry on the users' platform
    When a field that nobody knows is added
    Then the settings hold the bounds of the fleet in milliseconds

  Scenario: A configuration becomes routes and services
    Then the example configuration has its version, routes, weights and times

  Scenario Outline: An item that cannot be read names nothing to use and harms no other
    When an item with <fault> is read
    Then it says nothing, and the problem is logged with its key

    Examples:
      | fault                       |
      | a target without address    |
      | a target of unknown state   |
      | a target whose info is text |
      | a target of broken JSON     |
      | a configuration of no version |
      | a reader without address    |

  Scenario: A broken route is left out and the others hold
    Then of a configuration with one broken route and one broken service the rest is read

  Scenario: What a target registered is read from the fields that hold it
    Then the example registration has its service, zone, address, state and start

  Scenario Outline: What a response says follows from its status and headers
    Then a response with <status> and <headers> is a <verdict>

    Examples:
      | status | headers           | verdict |
      | 200    | signature         | SUCCESS |
      | 200    | nothing           | INVALID |
      | 200    | signature,encoding | INVALID |
      | 404    | signature         | SUCCESS |
      | 500    | signature         | FAILURE |
      | 504    | signature         | FAILURE |
      | 503    | not run           | NOT_RUN |
      | 429    | not run           | NOT_RUN |
      | 400    | not run           | NOT_RUN |
      | 421    | nothing           | NOT_RUN |
      | 503    | nothing           | INVALID |
      | 200    | signature,not run | SUCCESS |

  Scenario: Headers of one connection and those that the system sets are not passed on
    Then a forged target and deadline are replaced, and headers named by Connection are dropped
