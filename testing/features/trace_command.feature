Feature: From a request's id to its cause

  Scenario: The lines of one request are found in the logs of several entries
    Given the logs of two entries with two requests and a target that was removed
    When the first request is traced
    Then its choice, send and end are printed in order, after the removal of its target
    And nothing about the other request or the other entry's targets is printed

  Scenario Outline: A trace that finds nothing says why
    Given the logs of two entries with two requests and a target that was removed
    When <what> is traced
    Then the command ends with status 1 and names <named>

    Examples:
      | what               | named      |
      | an unknown request | no-such-id |
      | a missing file     | not a file |
