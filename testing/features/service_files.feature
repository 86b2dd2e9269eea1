Feature: Errors in service files name the file, the field, its value and the allowed values

  Scenario Outline: A file with <line> is refused
    Given the file "lookups.toml" of service "lookups" with <line>
    When the files are checked
    Then the error reads "lookups.toml: <field>: found <found>; <allowed>"

    Examples:
      | line                        | field                   | found            | allowed                                                             |
      | slots = 0                   | target.slots            | 0                | expected `int` >= 1                                                 |
      | slots = "3"                 | target.slots            | '3'              | expected `int`, got `str`                                           |
      | slot = 3                    | target.slot             | an unknown field | did you mean slots? known fields are: slots, connections            |
      | connections = 15            | target.connections      | 15               | use at least 16, one for each of max_entries                        |
      | cold_concurrency = 4        | target.cold_concurrency | 4                | use at most target.slots, which is 3                                |
      | priority = "high"           | priority                | 'high'           | use one of: interactive, standard, bulk                             |
      | team = "A B"                | team                    | 'A B'            | use 1 to 63 lower-case letters, digits and hyphens, starting with a |
      | team =                      | (syntax)                | an error: Invalid value (at line 2, column 7) | use valid TOML in UTF-8                |
      | hosts = []                  | hosts                   | []               | use at least one host name in lower case, without port or path      |
      | hosts = ["a:80"]            | hosts                   | 'a:80'           | use at least one host name in lower case, without port or path      |
      | hosts = ["a\n"]             | hosts                   | 'a\n'            | use at least one host name in lower case, without port or path      |
      | hosts = ["a", "a"]          | hosts                   | 'a'              | list each host once                                                 |
      | non_idempotent = [{method = "post", path = "/"}] | non_idempotent.method | 'post' | use an HTTP method in upper case, such as POST            |

  Scenario: A file without a required field is refused
    Given the file "lookups.toml" of service "lookups" without team
    When the files are checked
    Then the error reads "lookups.toml: team: found nothing; use 1 to 63 lower-case letters"

  Scenario: A missing file is refused
    When the files "absent.toml" are checked
    Then the error reads "absent.toml: (file): found No such file or directory; give the path"

  Scenario: Two files that describe one service are refused
    Given the file "one.toml" of service "lookups" with slots = 3
    And the file "two.toml" of service "lookups" with slots = 3
    When the files are checked
    Then the error reads "two.toml: name: found 'lookups'; "
    And the error reads "two.toml: hosts: found 'lookups.example'; "

  Scenario: The examples are valid
    When the example files are checked
    Then there is no error
