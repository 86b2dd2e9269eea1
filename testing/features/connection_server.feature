Feature: A server that is cancelled ends

  # Guards against a stop that waits without end for a connection which was accepted while it began.
  Scenario Outline: A client connects while the server is cancelled: <server>
    Given a server with an open connection: <server>
    When a client connects after the server was cancelled and before it runs again
    Then the server ends within 1 s, and both connections are closed

    Examples:
      | server          |
      | the relay       |
      | control calls   |
      | links of peers  |
