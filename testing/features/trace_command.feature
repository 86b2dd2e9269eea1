Feature: The trace command prints the log lines of one request

  Scenario: A request is traced through the logs of several entries
    Given the logs of two entries with two requests and a target that was removed
    When the first request is traced
    Then the choice, send and end of the request are printed in order, after the removal of its target
    And no lines of the other request or of the other entry's targets are printed

  Scenario Outline: A trace without a result gives the reason
    Given the logs of two entries with two requests and a target that was removed
    When <what> is traced
    Then the command exits with code 1 and names <named>

    Examples:
      | what               | named      |
      | an unknown request | no-such-id |
      | a missing file     | not a file |
