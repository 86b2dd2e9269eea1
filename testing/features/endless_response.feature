Feature: Bytes without end from a target

  Scenario Outline: A target that sends <kind> without end is given up before the deadline of the request
    Given a gateway whose only target sends without end: <kind>
    When a caller sends a transfer to it
    Then the caller gets <status> within 1200 ms, and the target ran it once
    And the connection to the target is closed after at most 40 MB
    And other tasks of the entry waited less than 250 ms

    Examples:
      | kind                                   | status |
      | bytes without a line end               | 502    |
      | one header field                       | 502    |
      | header fields                          | 502    |
      | interim responses                      | 502    |
      | a body of a huge length                | 502    |
      | a chunk extension                      | 502    |
      | trailer fields                         | 502    |
      | bytes after a response                 | 200    |

  Scenario Outline: A body without end ends at the latest at the deadline: <kind>
    Given a gateway whose only target sends without end: <kind>
    When a caller sends a transfer to it
    Then the caller gets 502 or 504 within 1700 ms, and the target ran it once
    And the connection to the target is closed after at most 40 MB
    And other tasks of the entry waited less than 250 ms

    Examples:
      | kind                                   |
      | a body until the end of the connection |
      | large chunks                           |
      | tiny chunks                            |

  Scenario Outline: Many responses without end stay within the memory for responses: <kind>
    Given a gateway with 8 MB for responses, whose only target sends without end: <kind>
    When 12 callers send a lookup to it
    Then no caller gets a success
    And the process allocates at most 40 MB more

    Examples:
      | kind                                   |
      | a body until the end of the connection |
      | large chunks                           |

  Scenario: A control call gives up a body without end
    Given a server that sends a body without end
    Then a call to it fails within 3000 ms after at most 40 MB

  Scenario Outline: A health probe of the path of VM lists reads little of <kind>
    Given a server that sends without end: <kind>
    When the entry sends it a health probe
    Then the probe ends within 1500 ms after at most 1 MB
    And other tasks of the entry waited less than 250 ms

    Examples:
      | kind                                   |
      | a body until the end of the connection |
      | large chunks                           |
      | tiny chunks                            |
      | interim responses                      |
      | bytes without a line end               |

  Scenario Outline: A load probe reads little of a response without end: <kind>
    Given a gateway whose only target responds to load probes without end: <kind>
    When a caller sends a transfer to it
    Then the caller gets 503 within 1200 ms, and the target did not run it
    And other tasks of the entry waited less than 250 ms
    And the target sent at most 8 MB in total

    Examples:
      | kind                                   |
      | a body until the end of the connection |
      | large chunks                           |
      | interim responses                      |
      | bytes without a line end               |

  # Guards against memory that was given back to the budget while the error of the response still refers to the body.
  Scenario: A response that breaks off frees its body although its error is kept
    When reading a response of which 200 KB arrive fails, and its error is kept
    Then the reader of the response holds no body
