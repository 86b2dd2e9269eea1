Feature: Registry errors list the registered names

  Scenario Outline: The error for an unknown name lists the registered names
    Given a registry of colours with <registered>
    When <asked> is looked up
    Then the error names <asked> and <registered>

    Examples:
      | registered | asked |
      | red        | blue  |
