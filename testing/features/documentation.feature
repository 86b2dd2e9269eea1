Feature: The pages say what the code does

  Scenario: A changed setting of an entry does not leave its table behind
    Given the page "docs/configuration.md"
    Then its table of settings equals the settings in the code

  Scenario Outline: A changed field of a service file does not leave its table behind
    Given the page "docs/configuration.md"
    Then its table below "<heading>" equals the fields of "<table>" in the code

    Examples:
      | heading                     | table          |
      | ### Top level               |                |
      | ### `[target]`              | target         |
      | ### `[request]`             | request        |
      | ### `[[non_idempotent]]`    | non_idempotent |

  Scenario Outline: The service files shown in <page> are accepted
    Given the page "<page>"
    Then each service file in it is valid

    Examples:
      | page                  |
      | README.md             |
      | docs/configuration.md |

  Scenario Outline: The links of <page> lead to files
    Given the page "<page>"
    Then each of its links leads to a file

    Examples:
      | page                  |
      | README.md             |
      | CONTRIBUTING.md       |
      | docs/configuration.md |
      | docs/OPERATIONS.md    |
      | docs/glossary.md      |
