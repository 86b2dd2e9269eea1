Feature: The client of the platform's store notices that the store was restored

  Scenario Outline: A read or a watch gives a position only if the history is the same
    Given a store whose next responses are: <responses>
    Then <call> gives <result>

    Examples: each response is its restorations/revision, then + if another page follows
      | responses   | call                 | result              |
      | 1/35        | a full read          | the position 1, 35  |
      | none/35     | a full read          | the position 0, 35  |
      | 2/40+, 2/38 | a full read          | the position 2, 38  |
      | 1/35+, 2/36 | a full read          | a lost history      |
      | x/35        | a full read          | an invalid response |
      | 1/36        | a watch after 1, 35  | the position 1, 36  |
      | none/36     | a watch after 0, 35  | the position 0, 36  |
      | 2/36        | a watch after 1, 35  | a lost history      |
      | 2/35        | a watch after 1, 35  | a lost history      |
      | 410         | a watch after 1, 35  | a lost history      |
