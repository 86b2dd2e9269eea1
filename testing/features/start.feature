Feature: An entry takes callers soon after it starts
  These scenarios guard against callers that are refused while a restarted process still loads.

  Scenario: A caller that connects before the request path is loaded is served
    Given a listening socket with a caller that has sent a request
    When the listener starts to accept on it
    Then the caller gets a response

  Scenario: The settings are read before the libraries of the request path are loaded
    When only the settings of an entry are loaded
    Then no library of the request path is loaded

  Scenario: Garbage collection pauses only while modules are loaded
    Then a load that fails leaves garbage collection on

  Scenario: A reload that is asked for while an entry loads does not end it
    Given the settings of an entry whose store is away
    When the entry is started and asked to reload as soon as it takes connections
    Then it lives on and ends with status 0 when asked to

  Scenario: An address that is in use is named
    Given the settings of an entry whose address is in use
    When the entry is started
    Then it ends with status 1 and names the address
