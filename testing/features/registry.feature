Feature: Registries name what they know

  Scenario Outline: An unknown name is reported with the known ones
    Given a registry of colours with <known>
    When <asked> is looked up
    Then the error names <asked> and <known>

    Examples:
      | known | asked |
      | red   | blue  |
