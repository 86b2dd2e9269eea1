Feature: The documentation agrees with the code

  Scenario: The table of settings agrees with the code
    Given the page "docs/configuration.md"
    Then its table of settings equals the settings in the code

  Scenario Outline: The table of service file fields below "<heading>" agrees with the code
    Given the page "docs/configuration.md"
    Then its table below "<heading>" equals the fields of "<table>" in the code

    Examples:
      | heading                     | table          |
      | ### Top level               |                |
      | ### `[target]`              | target         |
      | ### `[request]`             | request        |
      | ### `[[non_idempotent]]`    | non_idempotent |

  Scenario Outline: The service files in <page> are valid
    Given the page "<page>"
    Then each service file in it is valid

    Examples:
      | page                  |
      | README.md             |
      | docs/configuration.md |

  Scenario Outline: The links in <page> lead to existing files
    Given the page "<page>"
    Then each of its links leads to an existing file

    Examples:
      | page                  |
      | README.md             |
      | CONTRIBUTING.md       |
      | docs/configuration.md |
      | docs/OPERATIONS.md    |
      | docs/glossary.md      |

  Scenario: The metrics of an entry agree with the code
    Guards against a gauge without a help text, so that the page of metrics does not say what it is.
    Given the page "docs/OPERATIONS.md"
    Then the metrics below "### Metrics" are those that have a help text in the code
