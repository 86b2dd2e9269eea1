Feature: Commands exit with documented codes and print how to fix an error

  Background:
    Given a running platform with VMs of "lookups" in north and south and of "exports" in south
    And the file "lookups.toml" of service "lookups" with slots = 3
    And the file "exports.toml" of service "exports" with slots = 3
    And the command "publish lookups.toml exports.toml"

  Scenario Outline: The command <command> with the faults <faults>
    Given the faults <faults>
    When the command "<command>" runs
    Then it exits with code <code>
    And it prints "<printed>"

    Examples:
      | command                         | faults                    | code | printed                                           |
      | check lookups.toml              | {}                        | 0    | 1 valid: lookups                                  |
      | check absent.toml               | {}                        | 1    | fix: correct the named fields                     |
      | publish lookups.toml            | {}                        | 0    | version 1 already says the same                   |
      | publish lookups.toml --json     | {}                        | 0    | "outcome":"unchanged"                             |
      | publish lookups.toml            | {"outage": "refuse"}      | 4    | nothing was changed                               |
      | zone out north                  | {}                        | 0    | lookups: 3 of 6 slots remain (50 %)               |
      | zone out north                  | {"drop_put_responses": 1} | 0    | version 2 is in force                             |
      | zone out north --json           | {}                        | 0    | "slots_before":6,"slots_after":3                  |
      | zone out south                  | {}                        | 6    | warning: service exports would be left without    |
      | zone out south --force          | {}                        | 0    | version 2 is in force                             |
      | zone out sout                   | {}                        | 6    | zones with VMs are: north, south                  |
      | zone in north                   | {}                        | 0    | nothing was published                             |
      | zone list                       | {}                        | 0    | south: in, 2 live VMs                             |
      | zone list                       | {"outage": "refuse"}      | 4    | fix: check --platform                             |
      | status                          | {"outage": "refuse"}      | 4    | fix: check --platform                             |
      | status --entry 127.0.0.1:1      | {"outage": "refuse"}      | 0    | no status: cannot connect                         |
      | zone list --platform localhost  | {}                        | 2    | use IP:PORT                                       |

  Scenario: Replacing a service of another team is refused
    Given the file "lookups.toml" now belongs to team "other"
    When the command "publish lookups.toml" runs
    Then it exits with code 1
    And it prints "lookups.toml: team: found 'other'; service lookups belongs to team team"

  Scenario: A host that another service uses is refused
    Given the file "copy.toml" of service "copy" with hosts = ["lookups.example"]
    When the command "publish copy.toml" runs
    Then it exits with code 1
    And it prints "copy.toml: hosts: found 'lookups.example'; service lookups of team team already uses"
