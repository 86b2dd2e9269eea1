Feature: An entry accepts connections early in its start
  Guards against refused connections while a restarted process imports its modules.

  Scenario: A caller that connects before the request path is imported is served
    Given a listening socket to which a caller has sent a request
    When the listener starts to accept on the socket
    Then the caller receives a response

  Scenario: The settings module does not import the libraries of the request path
    When only the settings module of an entry is imported
    Then no library of the request path is imported

  Scenario: The request path is imported without OpenSSL, which costs memory in each process
    When all modules of an entry are imported
    Then OpenSSL is not loaded, and can still be imported later

  Scenario: Garbage collection is disabled only during the imports
    Then garbage collection is enabled again after a failed import

  Scenario: A SIGHUP during the imports does not end the process
    Given the settings of an entry whose store is unreachable
    When the entry is started and gets SIGHUP as soon as it accepts connections
    Then it keeps running and exits with status 0 after SIGTERM

  Scenario: The error for an address in use names the address
    Given the settings of an entry whose address is in use
    When the entry is started
    Then it exits with status 1 and names the address
