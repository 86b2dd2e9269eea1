Feature: Links between entries exchange messages and reconnect

  Scenario: Messages are encoded and decoded without loss
    Then generated messages decode to equal messages

  Scenario: Data that is not a valid message raises a message error
    Then generated data decodes to a message or raises a message error

  Scenario Outline: A message of another version is handled
    When <wire> is decoded
    Then the result is <result>

    Examples:
      | wire                 | result             |
      | [3, "t1", 7]         | an acknowledgement |
      | [3, "t1", 7, "new"]  | an acknowledgement |
      | [99, "t1", 7]        | a message error    |
      | [3, "t1"]            | a message error    |
      | {"3": "t1"}          | a message error    |
      | [2, "t1", "b", 9, 0] | a message error    |

  Scenario: Links carry messages in both directions and count their bytes
    Given 3 connected transports
    When each transport broadcasts a heartbeat
    Then each transport receives the heartbeats of the others
    And the transports together sent as many bytes as they received

  Scenario: A link without heartbeats is closed and reopened
    Given 2 connected transports
    Then each transport reports a heartbeat timeout and a new connection

  Scenario: A link is reopened when the peer process is replaced
    Given 2 connected transports
    When the transport of the higher seat is replaced by another process
    Then the other transport reports the new process

  Scenario Outline: A client that violates the protocol does not affect other links
    Given 2 connected transports
    When a client sends <bytes> to the transport of the lower seat
    And each transport broadcasts a heartbeat
    Then each transport receives the heartbeats of the others

    Examples:
      | bytes                              |
      | nothing                            |
      | noise                              |
      | a request for another path         |
      | a request without a seat           |
      | a handshake and an invalid message |

  Scenario: A peer that does not read is disconnected and does not block the sender
    Given a transport with a client on seat 0 that does not read
    When the transport sends until a message is rejected
    Then the transport reports that the client is disconnected
