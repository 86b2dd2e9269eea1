Feature: Connections of callers end between requests

  # Guards against an idle time-out that closes connections on which a response is awaited (review/1).
  Scenario Outline: A caller that waits for its response is not idle: <kind>
    Given a gateway that closes idle connections after 0.2 s, whose targets work for 0.6 s
    When a caller sends on one connection <kind>
    Then it gets the responses <statuses>

    Examples:
      | kind                                                 | statuses     |
      | a lookup                                             | 200          |
      | a transfer                                           | 200          |
      | two lookups at once                                  | 200 200      |
      | a lookup, then another one 0.3 s later               | 200 200      |
      | sixteen lookups at once                              | sixteen 200s |
      | a lookup before the idle time-out is shortened       | 200          |
      | a lookup, then another one 0.1 s after its response  | 200 200      |

  # Guards against a slow caller that loses the response to an earlier request together with the late one.
  Scenario Outline: A request that comes too slowly does not cut the response to an earlier one: <part>
    Given a gateway that closes idle connections after 0.2 s, whose targets work for 0.6 s
    And it allows 0.2 s for a request head
    When a caller sends a lookup and behind it <part>, and no more
    Then it gets status 200 with "Connection: close", and the connection ends within 2 s
    And the targets have run no other request

    Examples:
      | part                   |
      | half a request head    |
      | half a request body    |

  Scenario Outline: An idle connection is closed, <moment>
    Given a gateway that closes idle connections after 0.2 s, whose targets work for 0.6 s
    When a caller <action> and then nothing
    Then the connection ends 0.2 s to 0.6 s after <moment>

    Examples:
      | moment         | action          |
      | the connection | connects        |
      | the response   | sends a lookup  |

  # Guards against a time-out that cuts uploads by their length (found while looking for the cause of review/1 elsewhere).
  Scenario Outline: A request body has to progress, not to be short: <upload>
    Given a gateway that closes idle connections after 0.3 s, whose targets work for 0 s
    And it allows 0.3 s for a request head
    When a caller uploads <upload>
    Then the connection <result>

    Examples:
      | upload                                          | result                  |
      | 40 KB a second for 1.2 s                        | gets status 200         |
      | 40 KB a second for 0.5 s and then nothing       | ends 0.2 s to 0.6 s later |
      | 10 bytes a second                               | ends 0.2 s to 0.6 s later |

  # Guards against work that is begun for a request whose response can no longer be sent (review/2).
  Scenario Outline: A request that crosses the last response of a stopping entry is not passed on: <moment>
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    And it stops
    When a caller sends a <first> and its next request <moment>
    Then it gets one response, with status 200 and "Connection: close", and the end
    And the targets have run no other request

    Examples:
      | first                   | moment                                |
      | lookup                  | after the response                    |
      | lookup                  | in halves before and after the response |
      | lookup                  | after the response, and waits for an invitation |
      | transfer of 24 MB       | while it does not read the response   |

  Scenario: A request that arrives on an idle connection while it is closed is not passed on
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    When a caller sends a lookup just before the entry closes its idle connections
    Then the connection ends without a response
    And the targets have run no request

  # Guards against a stop that cuts what a caller has not read yet, or a request that it is sending.
  Scenario Outline: Closing the idle connections of a stopping entry spares <what>
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    And it stops
    When the entry closes idle connections while a caller <action>
    Then the caller gets a whole response with status 200

    Examples:
      | what                                   | action                                  |
      | a response that is on its way          | reads its last response slowly and sends more |
      | a request whose head is incomplete     | sends a request head in two parts       |
      | a request whose body is incomplete     | sends a request body in two parts       |

  # Guards against bytes of an interim response within the response to an earlier request.
  Scenario Outline: A request body is invited after the responses to earlier requests, <detail>
    Given a gateway that closes idle connections after 0.3 s, whose targets work for 0.5 s
    When a caller that <detail> sends a transfer of <size> MB and behind it one that expects an invitation
    Then it gets the whole first response, then the invitation, and then status 200

    Examples:
      | detail                                     | size |
      | reads the first response late              | 24   |
      | waits for the first response               | 0    |

  # Guards against a stop that resets connections which the kernel had accepted before.
  Scenario: Connections that wait to be accepted when a stop closes the socket are served
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    When three callers send a lookup and the entry closes its socket before it has accepted them
    Then the entry counts three open connections, and each caller gets status 200

  # Guards against connections that come while the last accepted ones are prepared: the kernel accepts and then resets them.
  Scenario: No connection is reset between the last accept of a stop and the close of the socket
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    When a caller connects while the handlers of the last accepted connections run for the first time
    Then its connection is refused, or it gets status 200

  # Guards against a process that runs to the end of its grace period because of callers that do not close.
  Scenario: A caller that does not close after its last response does not delay the stop
    Given a gateway that closes idle connections after 5 s, whose targets work for 0.2 s
    And it stops
    When a caller keeps its connection after its last response, and the entry no longer accepts
    Then no connection is left within 1 s

  # Guards against logs and metrics that blame the caller for what the entry did, or the other way round.
  Scenario Outline: The reason for the end of a connection is known: <reason>
    Given a gateway that closes idle connections after 0.2 s, whose targets work for 0.3 s
    When the only caller <action>
    Then the connection ended because "<reason>", with <unanswered> requests unanswered

    Examples:
      | action                                      | reason                           | unanswered |
      | sends a lookup and closes                   | the caller closed its connection | 1          |
      | sends a lookup, reads its response and waits | the caller sent nothing in time  | 0          |
      | resets its connection during its response   | the caller closed its connection | 1          |
