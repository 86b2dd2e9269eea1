Feature: Entries are linked to one lead
  Guards against entries that go on calling a lead that is gone, silent or replaced.

  Scenario Outline: An entry is linked to the reader in the lowest slot that it can reach
    Given readers in the slots 0, 1 and 2, and an entry <place>
    When the reader in slot 0 <event>
    Then the entry is linked to <lead> within 3 s, and its calls are answered

    Examples:
      | place                     | event                       | lead  |
      | without a slot            | goes on                     | r0    |
      | without a slot            | ends                        | r1    |
      | without a slot            | accepts links and is silent | r1    |
      | without a slot            | is replaced by an entry r9  | r9    |
      | that is itself in slot 0  | goes on                     | entry |

  Scenario Outline: A link that <event> is not lost for long
    Given readers in the slots 0, 1 and 2, and an entry without a slot
    When the reader in slot 0 goes on
    Then the entry, whose link <event>, is linked to r0 <after>, and no reader is avoided

    Examples: the first ping may arrive together with the first message of the link
      | event                   | after                 |
      | is used for 2 s         | all the time          |
      | is closed by the reader | within 1 s            |

  Scenario: A link is not given up for a reader that cannot be reached
    Given readers in the slots 0, 1 and 2, and an entry without a slot
    When the reader in slot 0 ends
    Then the entry stays linked to r1 while r0 is tried again

  Scenario: A lead knows which entries are linked, and forgets those that are silent
    Given readers in the slots 0, 1 and 2, and an entry without a slot
    When the reader in slot 0 goes on
    Then the reader in slot 0 counts the entry, and no longer 3 s after it fell silent

  Scenario: Without a need for a lead, no link is opened
    Given readers in the slots 0, 1 and 2, and an entry without a slot
    When nothing needs a lead
    Then no reader gets a connection

  Scenario: A call that arrives together with the hello is answered
    Guards against a first ping that is lost, after which entries avoid a lead that works.
    Then a ping that is sent right after the hello is answered
